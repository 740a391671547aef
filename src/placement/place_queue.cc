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
  return EstimateQueueWait(
      ledger, CountAhead(queue.reservations, queued, interval, now) + 1);
}

queue_reply MakeReply(const queued_reservation& queued,
                      const reserve_decode_reply& reply, absl::Time now) {
  return {queued.request.request_id, reply, queued.request.team,
          queued.request.priority, now - queued.queued_at};
}

}  // namespace

std::optional<reserve_decode_reply> ReserveOrQueue(
    place_queue& queue, decode_ledger& ledger,
    const reserve_decode_request& request, const overcommit_policy& policy,
    absl::Time now) {
  reserve_decode_reply reply;
  if (queue.reservations.empty()) {
    reply = ReserveDecode(ledger, request, policy, now);
    if (reply.granted) return reply;
  }
  queued_reservation queued{request, now, now + request.max_queue_wait};
  reply.free_in = EstimateWaitFor(queue, ledger, queued, now);
  if (reply.free_in > request.max_queue_wait) return reply;
  EnqueueReservation(queue.reservations, std::move(queued));
  return std::nullopt;
}

std::vector<queue_reply> ServeQueue(place_queue& queue, decode_ledger& ledger,
                                    const overcommit_policy& policy,
                                    absl::Time now) {
  std::vector<queue_reply> replies;
  for (const queued_reservation& expired :
       TakeExpired(queue.reservations, now)) {
    reserve_decode_reply reply;
    reply.free_in = EstimateWaitFor(queue, ledger, expired, now);
    replies.push_back(MakeReply(expired, reply, now));
  }
  while (const queued_reservation* next =
             NextReservation(queue.reservations, now)) {
    const reserve_decode_reply reply =
        ReserveDecode(ledger, next->request, policy, now);
    if (!reply.granted) break;
    replies.push_back(MakeReply(TakeNext(queue.reservations, now), reply, now));
  }
  return replies;
}

}  // namespace anvilridge
