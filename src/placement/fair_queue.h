#ifndef ANVILRIDGE_PLACEMENT_FAIR_QUEUE_H_
#define ANVILRIDGE_PLACEMENT_FAIR_QUEUE_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "placement/decode_ledger.h"

namespace anvilridge {

/// Wait for a place after which a priority is served before higher ones, for
/// each level that it is below the highest priority in the queue.
inline constexpr absl::Duration kAgeingStep = absl::Milliseconds(50);

/// Reservation request that waits at the home until a place becomes free.
struct queued_reservation {
  reserve_decode_request request;
  absl::Time queued_at;
  /// When the request is refused if it is still queued.
  absl::Time deadline;
};

/// Queued reservation requests of one priority. Its teams share places by
/// weight: start-time fair queueing, where a place costs its expected use.
struct priority_class {
  /// Requests of each waiting team, by arrival; no list is empty.
  std::map<std::string, std::deque<queued_reservation>, std::less<>> teams;
  /// Virtual time at which each team's next place starts. Contains the waiting
  /// teams and those that recently had more than their share.
  std::map<std::string, double, std::less<>> start_tags;
  /// Virtual start of the last place granted, in seconds of use per weight.
  double virtual_time = 0;
  /// When this priority began to wait for its next place: its last grant, or
  /// the arrival of its first request.
  absl::Time waiting_since;
};

/// Queued reservation requests by priority, the highest first; no class is
/// empty.
using fair_queue = std::map<int, priority_class, std::greater<>>;

/// Queues `request` behind the others of its team and priority.
void EnqueueReservation(fair_queue& queue, queued_reservation request);

/// Returns the request that gets the next place at `now`; null if the queue is
/// empty.
const queued_reservation* NextReservation(const fair_queue& queue,
                                          absl::Time now);

/// Removes and returns the request that gets the next place at `now`, and
/// charges the place to its team. The queue must not be empty.
queued_reservation TakeNext(fair_queue& queue, absl::Time now);

/// Removes and returns the requests whose deadline is not after `now`.
std::vector<queued_reservation> TakeExpired(fair_queue& queue, absl::Time now);

/// Returns how many places are granted to other requests before `newcomer` gets
/// one, if a place becomes free at `now` and after every `interval`, and no
/// further request arrives.
int CountAhead(fair_queue queue, const queued_reservation& newcomer,
               absl::Duration interval, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_FAIR_QUEUE_H_
