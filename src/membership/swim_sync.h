#ifndef ANVILRIDGE_MEMBERSHIP_SWIM_SYNC_H_
#define ANVILRIDGE_MEMBERSHIP_SWIM_SYNC_H_

#include <string>

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"
#include "membership/swim_node.h"

namespace anvilridge {

/// Returns a request for the next part of the member table of the daemon at
/// `address`.
swim_send MakeSyncRequest(swim_node& node, const std::string& address,
                          absl::Time now, absl::BitGenRef random);

/// Returns the reply to `request`: as much of this daemon's table as fits into
/// one datagram.
swim_send MakeSyncReply(swim_node& node, const swim_message& request,
                        absl::Time now);

/// Sends a sync request to a random address without a running member, so that
/// new members join and the halves of a partitioned network merge again. Due
/// every interval until the node has joined, then every
/// `swim_config::contact_intervals`.
void ContactUnreachedAddress(swim_node& node, absl::Time now,
                             absl::BitGenRef random, swim_result& result);

/// Requests a part of a random member's table, to receive updates that gossip
/// has not delivered to this daemon. Due every interval until the node has
/// joined, then every `swim_config::sync_intervals`.
void SyncWithRandomMember(swim_node& node, absl::Time now,
                          absl::BitGenRef random, swim_result& result);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_SWIM_SYNC_H_
