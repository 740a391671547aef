#include "placement/linked_prefill.h"

#include <QString>
#include <algorithm>

#include "log/decision_log.h"

namespace anvilridge {
namespace {

void LogBudget(const reserve_prefill_request& request, const link_share& share,
               const transfer_forecast& forecast, bool granted) {
  const char* refusal = forecast.fits ? "queue too long" : "link full";
  LogEvent(log_level::info, "link_budget",
           {{"request_id", QString::fromStdString(request.request_id)},
            {"link", QString::fromStdString(share.link)},
            {"pieces", request.pieces},
            {"in_flight_pieces", forecast.pieces_in_flight},
            {"budget_pieces", forecast.budget_pieces},
            {"result", granted ? "granted" : refusal}});
}

// Returns how much later the transfer would have to begin to end within the
// window of `share`.
absl::Duration DelayUntilTransferFits(const transfer_forecast& forecast,
                                      const link_share& share) {
  return forecast.wait + forecast.duration - share.window;
}

}  // namespace

reserve_prefill_reply ReservePrefillOverLink(
    prefill_ledger& prefill, link_ledger& links,
    const reserve_prefill_request& request, const link_share& share,
    absl::Time now) {
  ReleaseTransfer(links, request.request_id);
  if (share.pieces_per_second <= 0) {
    return ReservePrefill(prefill, request, now);
  }
  const absl::Time start = std::max(now, prefill.busy_until);
  const absl::Duration work =
      absl::Seconds(request.tokens / prefill.tokens_per_second);
  const transfer_forecast forecast =
      ForecastTransfer(links, share, request.pieces, start + work);
  reserve_prefill_reply reply;
  if (forecast.fits) {
    // The transfer's wait for the link is lost to the wait in the queue.
    reserve_prefill_request adjusted_request = request;
    adjusted_request.longest_wait -= forecast.wait;
    reply = ReservePrefill(prefill, adjusted_request, now);
  } else {
    reply.link_full = true;
    reply.wait = start - now + DelayUntilTransferFits(forecast, share);
    reply.work = work;
  }
  if (reply.granted) {
    ReserveTransfer(links, share, request.request_id, request.pieces,
                    start + work, now);
  }
  LogBudget(request, share, forecast, reply.granted);
  return reply;
}

}  // namespace anvilridge
