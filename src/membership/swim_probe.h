#ifndef ANVILRIDGE_MEMBERSHIP_SWIM_PROBE_H_
#define ANVILRIDGE_MEMBERSHIP_SWIM_PROBE_H_

#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"
#include "membership/swim_node.h"

namespace anvilridge {

/// Returns a node that knows itself only.
swim_node MakeSwimNode(const swim_config& config, const member_update& self,
                       absl::Time now);

/// Returns how long a suspicion lasts among `members`.
absl::Duration SuspicionTimeout(const swim_config& config, int members);

/// Does what is due at `now`; call it several times an interval.
swim_result SwimTick(swim_node& node, absl::Time now, absl::BitGenRef random);

/// Handles a datagram.
swim_result SwimReceive(swim_node& node, const swim_message& message,
                        absl::Time now, absl::BitGenRef random);

/// Returns messages that tell some members that this daemon ends.
std::vector<swim_send> SwimEnd(swim_node& node, absl::BitGenRef random);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_SWIM_PROBE_H_
