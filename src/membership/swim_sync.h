#ifndef ANVILRIDGE_MEMBERSHIP_SWIM_SYNC_H_
#define ANVILRIDGE_MEMBERSHIP_SWIM_SYNC_H_

#include <string>

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"
#include "membership/swim_node.h"

namespace anvilridge {

/// Makes a request for the next piece of the table of the daemon at `address`.
swim_send SyncRequest(swim_node& node, const std::string& address,
                      absl::Time now, absl::BitGenRef random);

/// Answers a request with one datagram of this daemon's table.
swim_send SyncReply(swim_node& node, const swim_message& request,
                    absl::Time now);

/// Now and then tries an address at which no running member is known, so that
/// newcomers and the halves of a split network find each other.
void TryContacts(swim_node& node, absl::Time now, absl::BitGenRef random,
                 swim_result& result);

/// Now and then reads a piece of a random member's table, which brings what
/// passed by this daemon.
void ReadOthersTable(swim_node& node, absl::Time now, absl::BitGenRef random,
                     swim_result& result);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_SWIM_SYNC_H_
