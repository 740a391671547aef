#ifndef ANVILRIDGE_MEMBERSHIP_SWIM_GOSSIP_H_
#define ANVILRIDGE_MEMBERSHIP_SWIM_GOSSIP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/strings/string_view.h"
#include "membership/swim_node.h"

namespace anvilridge {

/// Returns how often an update is passed on.
int SpreadLimit(const member_table& table);

/// Returns a number for a probe or request that others can't guess.
uint64_t NewSequence(absl::BitGenRef random);

/// Returns names of running members other than this one and `except`.
std::vector<std::string> RunningOthers(const member_table& table,
                                       absl::string_view except = "");

/// Returns the address of a member known.
const std::string& AddressOf(const swim_node& node, absl::string_view name);

/// Returns an entry as it is told to others at `now`.
member_update ForSending(const member_entry& entry, absl::Time now);

/// Tells the receiver at `address` what is believed of it, so that it can deny
/// a suspicion or learn of a verdict.
void AddVerdictOnReceiver(swim_node& node, const std::string& address,
                          absl::Time now, swim_message& message);

/// Tells a sender that speaks for a superseded incarnation so.
void CorrectSender(swim_node& node, const swim_message& message, absl::Time now,
                   swim_message& reply);

/// Makes a message that carries the news least often passed on.
swim_send MakeSend(swim_node& node, std::string address, swim_kind kind,
                   uint64_t sequence, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_SWIM_GOSSIP_H_
