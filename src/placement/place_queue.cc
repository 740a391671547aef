#include "placement/place_queue.h"

namespace anvilridge {
namespace {

absl::Duration WaitOfNext(const place_queue& queue,
                          const decode_ledger& ledger) {
  return WaitForPlace(ledger, static_cast<int>(queue.asks.size()) + 1);
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
  answer.free_in = WaitOfNext(queue, ledger);
  if (answer.free_in > ask.may_wait) return answer;
  queue.asks.push_back({ask, now + ask.may_wait});
  return std::nullopt;
}

std::vector<queue_answer> ServeQueue(place_queue& queue, decode_ledger& ledger,
                                     const promise_policy& policy,
                                     absl::Time now) {
  std::vector<queue_answer> answered;
  while (!queue.asks.empty()) {
    const queued_ask& first = queue.asks.front();
    const bool late = first.give_up_at <= now;
    decode_answer answer;
    if (!late) answer = AskDecode(ledger, first.ask, policy, now);
    if (!late && !answer.granted) break;
    const std::string id = first.ask.request_id;
    queue.asks.pop_front();
    answer.free_in = WaitOfNext(queue, ledger);
    answered.push_back({id, answer});
  }
  return answered;
}

}  // namespace anvilridge
