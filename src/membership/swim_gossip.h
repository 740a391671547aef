#ifndef ANVILRIDGE_MEMBERSHIP_SWIM_GOSSIP_H_
#define ANVILRIDGE_MEMBERSHIP_SWIM_GOSSIP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/strings/string_view.h"
#include "membership/swim_node.h"

namespace anvilridge {

/// Returns how often a daemon sends one update to others.
int MaxTransmissions(const member_table& table);

/// Returns a random sequence number for a ping or request that other daemons
/// can't predict.
uint64_t NewSequenceNumber(absl::BitGenRef random);

/// Returns the names of the running members without this daemon and `except`.
std::vector<std::string> RunningOthers(const member_table& table,
                                       absl::string_view except = "");

/// Returns the peer address of the member `name`, which must be in the table.
const std::string& AddressOf(const swim_node& node, absl::string_view name);

/// Returns the update to send for an entry, with the age of its verdict at
/// `now`.
member_update UpdateToSend(const member_entry& entry, absl::Time now);

/// Adds the recorded state of the receiver at `address`, unless it is alive, to
/// `message`, so that the receiver can refute a suspicion or start a new
/// incarnation after a verdict.
void AddReceiverState(swim_node& node, const std::string& address,
                      absl::Time now, swim_message& message);

/// Adds the recorded update of the sender to `reply` if the incarnation of the
/// sender in `message` is superseded.
void AddSupersedingUpdate(swim_node& node, const swim_message& message,
                          absl::Time now, swim_message& reply);

/// Returns a message that carries the least-sent updates, up to
/// `swim_config::max_probe_bytes`.
swim_send MakeSend(swim_node& node, std::string address, swim_message_kind kind,
                   uint64_t sequence, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_SWIM_GOSSIP_H_
