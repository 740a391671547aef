#ifndef ANVILRIDGE_PLACEMENT_PLACE_QUEUE_H_
#define ANVILRIDGE_PLACEMENT_PLACE_QUEUE_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "placement/decode_ledger.h"
#include "placement/fair_queue.h"

namespace anvilridge {

/// Reservation requests that are queued for places of one decode engine.
struct place_queue {
  fair_queue reservations;
};

/// Reply to a queued reservation request.
struct queue_reply {
  std::string request_id;
  reserve_decode_reply reply;
  std::string team;
  int priority = 0;
  /// Time that the request was queued.
  absl::Duration waited;
};

/// Returns the reply to `request`, or queues the request and returns nothing.
/// The request is queued if its `max_queue_wait` covers the expected wait for
/// its turn, which depends on its priority and on its team's share of the
/// queue.
std::optional<reserve_decode_reply> ReserveOrQueue(
    place_queue& queue, decode_ledger& ledger,
    const reserve_decode_request& request, const overcommit_policy& policy,
    absl::Time now);

/// Reserves places for queued requests, by priority and by the shares of their
/// teams, and refuses the requests whose deadline is not after `now`. Returns
/// the replies to both.
std::vector<queue_reply> ServeQueue(place_queue& queue, decode_ledger& ledger,
                                    const overcommit_policy& policy,
                                    absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_PLACE_QUEUE_H_
