#ifndef ANVILRIDGE_PLACEMENT_PLACE_QUEUE_H_
#define ANVILRIDGE_PLACEMENT_PLACE_QUEUE_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "placement/decode_ledger.h"
#include "placement/fair_queue.h"

namespace anvilridge {

/// The asks that wait for places of one decode engine.
struct place_queue {
  fair_queue asks;
};

/// The answer to an ask that had to wait.
struct queue_answer {
  std::string request_id;
  decode_answer answer;
  std::string team;
  int priority = 0;
  absl::Duration waited;
};

/// Answers `ask` at once, or queues it and returns nothing. It is queued when
/// it may wait for as long as its turn should take, by its priority and its
/// team's share of the queue.
std::optional<decode_answer> AskOrQueue(place_queue& queue,
                                        decode_ledger& ledger,
                                        const decode_ask& ask,
                                        const promise_policy& policy,
                                        absl::Time now);

/// Grants places to the asks that wait, by priority and by the shares of their
/// teams, and refuses those that have waited as long as they may.
std::vector<queue_answer> ServeQueue(place_queue& queue, decode_ledger& ledger,
                                     const promise_policy& policy,
                                     absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_PLACE_QUEUE_H_
