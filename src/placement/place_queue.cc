#include "placement/place_queue.h"

#include <utility>

namespace anvilridge {
namespace {

absl::Duration WaitOf(const place_queue& queue, const decode_ledger& ledger,
                      const queued_ask& waiting, absl::Time now) {
  const absl::Duration interval = WaitForPlace(ledger, 1);
  return WaitForPlace(ledger,
                      CountAhead(queue.asks, waiting, interval, now) + 1);
}

queue_answer AnswerTo(const queued_ask& waiting, const decode_answer& answer,
                      absl::Time now) {
  return {waiting.ask.request_id, answer, waiting.ask.team,
          waiting.ask.priority, now - waiting.queued_at};
}

}  // namespace

std::optional<decode_answer> AskOrQueue(place_queue& queue,
                                        decode_ledger& ledger,
                                        const decode_ask& ask,
                                        const promise_policy& policy,
                                        absl::Time now) {
  decode_answer answer;
  if (queue.asks.empty()) {
    answer = AskDecode(ledger, ask, policy, now);
    if (answer.granted) return answer;
  }
  queued_ask waiting{ask, now, now + ask.may_wait};
  answer.free_in = WaitOf(queue, ledger, waiting, now);
  if (answer.free_in > ask.may_wait) return answer;
  AddAsk(queue.asks, std::move(waiting));
  return std::nullopt;
}

std::vector<queue_answer> ServeQueue(place_queue& queue, decode_ledger& ledger,
                                     const promise_policy& policy,
                                     absl::Time now) {
  std::vector<queue_answer> answered;
  for (const queued_ask& late : TakeLate(queue.asks, now)) {
    decode_answer answer;
    answer.free_in = WaitOf(queue, ledger, late, now);
    answered.push_back(AnswerTo(late, answer, now));
  }
  while (const queued_ask* next = NextAsk(queue.asks, now)) {
    const decode_answer answer = AskDecode(ledger, next->ask, policy, now);
    if (!answer.granted) break;
    answered.push_back(AnswerTo(TakeNext(queue.asks, now), answer, now));
  }
  return answered;
}

}  // namespace anvilridge
