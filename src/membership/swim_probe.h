#ifndef ANVILRIDGE_MEMBERSHIP_SWIM_PROBE_H_
#define ANVILRIDGE_MEMBERSHIP_SWIM_PROBE_H_

#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"
#include "membership/swim_node.h"

namespace anvilridge {

/// Returns a node whose only member is this daemon, in the state `self`.
swim_node MakeSwimNode(const swim_config& config, const member_update& self,
                       absl::Time now);

/// Returns the time after which a suspect among `members` running members is
/// declared dead.
absl::Duration SuspicionTimeout(const swim_config& config, int members);

/// Carries out the steps that are due at `now`: probes, suspicion timeouts and
/// table syncs. Must be called several times per interval.
swim_result SwimTick(swim_node& node, absl::Time now, absl::BitGenRef random);

/// Merges the updates of a received message and returns the replies to it.
swim_result SwimReceive(swim_node& node, const swim_message& message,
                        absl::Time now, absl::BitGenRef random);

/// Marks this daemon as left and returns messages that announce this to some
/// running members.
std::vector<swim_send> MakeLeaveMessages(swim_node& node,
                                         absl::BitGenRef random);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_SWIM_PROBE_H_
