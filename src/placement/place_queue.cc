#include "placement/place_queue.h"

#include <utility>

namespace anvilridge {
namespace {

// Returns the expected wait of `queued` in `queue`, which doesn't contain it.
absl::Duration EstimateWaitFor(const place_queue& queue,
                               const decode_ledger& ledger,
                               const queued_ask& queued, absl::Time now) {
  const absl::Duration interval = EstimateQueueWait(ledger, 1);
  return EstimateQueueWait(ledger,
                           CountAhead(queue.asks, queued, interval, now) + 1);
}

queue_reply MakeReply(const queued_ask& queued, const decode_answer& reply,
                      absl::Time now) {
  return {queued.ask.request_id, reply, queued.ask.team, queued.ask.priority,
          now - queued.queued_at};
}

}  // namespace

std::optional<decode_answer> AskOrQueue(place_queue& queue,
                                        decode_ledger& ledger,
                                        const reserve_decode_request& request,
                                        const overcommit_policy& policy,
                                        absl::Time now) {
  decode_answer reply;
  if (queue.asks.empty()) {
    reply = AskDecode(ledger, request, policy, now);
    if (reply.granted) return reply;
  }
  queued_ask queued{request, now, now + request.may_wait};
  reply.free_in = EstimateWaitFor(queue, ledger, queued, now);
  if (reply.free_in > request.may_wait) return reply;
  AddAsk(queue.asks, std::move(queued));
  return std::nullopt;
}

std::vector<queue_reply> ServeQueue(place_queue& queue, decode_ledger& ledger,
                                    const overcommit_policy& policy,
                                    absl::Time now) {
  std::vector<queue_reply> replies;
  for (const queued_ask& expired : TakeExpired(queue.asks, now)) {
    decode_answer reply;
    reply.free_in = EstimateWaitFor(queue, ledger, expired, now);
    replies.push_back(MakeReply(expired, reply, now));
  }
  while (const queued_ask* next = NextReservation(queue.asks, now)) {
    const decode_answer reply = AskDecode(ledger, next->ask, policy, now);
    if (!reply.granted) break;
    replies.push_back(MakeReply(TakeNext(queue.asks, now), reply, now));
  }
  return replies;
}

}  // namespace anvilridge
