#include "placement/place_queue.h"

#include <utility>

namespace anvilridge {
namespace {

// Returns the expected wait of `queued` in `queue`, which doesn't contain it.
absl::Duration EstimateWaitFor(const place_queue& queue,
                               const decode_ledger& ledger,
                               const queued_reservation& queued,
                               absl::Time now) {
  const absl::Duration interval = EstimateQueueWait(ledger, 1);
  return EstimateQueueWait(ledger,
                           CountAhead(queue.asks, queued, interval, now) + 1);
}

queue_reply MakeReply(const queued_reservation& queued,
                      const decode_answer& reply, absl::Time now) {
  return {queued.ask.request_id, reply, queued.ask.team, queued.ask.priority,
          now - queued.queued_at};
}

}  // namespace

std::optional<decode_answer> ReserveOrQueue(
    place_queue& queue, decode_ledger& ledger,
    const reserve_decode_request& request, const overcommit_policy& policy,
    absl::Time now) {
  decode_answer reply;
  if (queue.asks.empty()) {
    reply = ReserveDecode(ledger, request, policy, now);
    if (reply.granted) return reply;
  }
  queued_reservation queued{request, now, now + request.max_queue_wait};
  reply.free_in = EstimateWaitFor(queue, ledger, queued, now);
  if (reply.free_in > request.max_queue_wait) return reply;
  EnqueueReservation(queue.asks, std::move(queued));
  return std::nullopt;
}

std::vector<queue_reply> ServeQueue(place_queue& queue, decode_ledger& ledger,
                                    const overcommit_policy& policy,
                                    absl::Time now) {
  std::vector<queue_reply> replies;
  for (const queued_reservation& expired : TakeExpired(queue.asks, now)) {
    decode_answer reply;
    reply.free_in = EstimateWaitFor(queue, ledger, expired, now);
    replies.push_back(MakeReply(expired, reply, now));
  }
  while (const queued_reservation* next = NextReservation(queue.asks, now)) {
    const decode_answer reply = ReserveDecode(ledger, next->ask, policy, now);
    if (!reply.granted) break;
    replies.push_back(MakeReply(TakeNext(queue.asks, now), reply, now));
  }
  return replies;
}

}  // namespace anvilridge
