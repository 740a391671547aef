#include "placement/linked_prefill.h"

#include <QString>
#include <algorithm>

#include "log/decision_log.h"

namespace anvilridge {
namespace {

void LogBudget(const prefill_ask& ask, const link_share& share,
               const transfer_forecast& forecast, bool granted) {
  const char* refusal = forecast.fits ? "queue too long" : "link full";
  LogEvent(log_level::info, "link_budget",
           {{"request_id", QString::fromStdString(ask.request_id)},
            {"link", QString::fromStdString(share.link)},
            {"pieces", ask.pieces},
            {"in_flight_pieces", forecast.pieces_in_flight},
            {"budget_pieces", forecast.budget_pieces},
            {"result", granted ? "granted" : refusal}});
}

// How long the link takes to have room for the transfer.
absl::Duration TimeToFit(const transfer_forecast& forecast,
                         const link_share& share) {
  return forecast.queue + forecast.sending - share.window;
}

}  // namespace

prefill_answer AskPrefillOverLink(prefill_ledger& prefill, link_ledger& links,
                                  const prefill_ask& ask,
                                  const link_share& share, absl::Time now) {
  ReleaseTransfer(links, ask.request_id);
  if (share.pieces_per_second <= 0) return AskPrefill(prefill, ask, now);
  const absl::Time starts = std::max(now, prefill.busy_until);
  const absl::Duration work =
      absl::Seconds(ask.tokens / prefill.tokens_per_second);
  const transfer_forecast forecast =
      ForecastTransfer(links, share, ask.pieces, starts + work);
  prefill_answer answer;
  if (forecast.fits) {
    prefill_ask within = ask;
    within.longest_wait -= forecast.queue;
    answer = AskPrefill(prefill, within, now);
  } else {
    answer.link_full = true;
    answer.wait = starts - now + TimeToFit(forecast, share);
    answer.work = work;
  }
  if (answer.granted) {
    PromiseTransfer(links, share, ask.request_id, ask.pieces, starts + work,
                    now);
  }
  LogBudget(ask, share, forecast, answer.granted);
  return answer;
}

}  // namespace anvilridge
