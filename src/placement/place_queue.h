#ifndef ANVILRIDGE_PLACEMENT_PLACE_QUEUE_H_
#define ANVILRIDGE_PLACEMENT_PLACE_QUEUE_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "placement/decode_ledger.h"

namespace anvilridge {

/// An ask that is put off until a place comes free.
struct queued_ask {
  decode_ask ask;
  absl::Time give_up_at;
};

/// The asks that wait for places of one decode engine, in order of arrival.
struct place_queue {
  std::deque<queued_ask> asks;
};

/// The answer to an ask that had to wait.
struct queue_answer {
  std::string request_id;
  decode_answer answer;
};

/// Answers `ask` at once, or queues it and returns nothing. It is queued when
/// it may wait for as long as its turn should take; nobody overtakes those that
/// wait already.
std::optional<decode_answer> AskOrQueue(place_queue& queue,
                                        decode_ledger& ledger,
                                        const decode_ask& ask,
                                        const promise_policy& policy,
                                        absl::Time now);

/// Grants places to the asks that wait, in their order, and refuses those that
/// have waited as long as they may.
std::vector<queue_answer> ServeQueue(place_queue& queue, decode_ledger& ledger,
                                     const promise_policy& policy,
                                     absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_PLACE_QUEUE_H_
