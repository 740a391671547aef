#include "placement/prefill_ledger.h"

#include <algorithm>
#include <set>

namespace anvilridge {
namespace {

// Longest time between the reservation of a prefill and its arrival at the
// engine, during which the engine does not list it.
constexpr absl::Duration kMaxDispatchTime = absl::Milliseconds(60);
// Weight of the newest prefill in the moving average of the rate.
constexpr double kRateSmoothing = 0.1;
// Overhead dominates the duration of prefills shorter than this, so they are
// ignored in the rate.
constexpr int kMinRateSampleTokens = 64;

// Removes the reservations whose prefill should have ended before `now`.
void RemoveFinished(prefill_ledger& ledger, absl::Time now) {
  std::erase_if(ledger.reservations, [now](const auto& entry) {
    return entry.second.predicted_end < now;
  });
}

}  // namespace

reserve_prefill_reply ReservePrefill(prefill_ledger& ledger,
                                     const reserve_prefill_request& request,
                                     absl::Time now) {
  RemoveFinished(ledger, now);
  ReleasePrefill(ledger, request.request_id);
  const absl::Time starts = std::max(now, ledger.busy_until);
  reserve_prefill_reply reply;
  reply.wait = starts - now;
  reply.work = absl::Seconds(request.tokens / ledger.tokens_per_second);
  reply.granted = reply.wait <= request.longest_wait;
  if (!reply.granted) return reply;
  ledger.busy_until = starts + reply.work;
  ledger.reservations[request.request_id] = {request.owner, request.tokens, now,
                                             ledger.busy_until};
  return reply;
}

void ReleasePrefill(prefill_ledger& ledger, absl::string_view request_id) {
  const auto it = ledger.reservations.find(request_id);
  if (it != ledger.reservations.end()) ledger.reservations.erase(it);
}

void MergePrefillList(prefill_ledger& ledger,
                      absl::Span<const engine_request> listed, absl::Time now) {
  RemoveFinished(ledger, now);
  std::set<absl::string_view> listed_ids;
  double tokens = 0;
  for (const engine_request& row : listed) {
    listed_ids.insert(row.request_id);
    if (row.phase == engine_phase::queued) tokens += row.prompt_tokens;
    if (row.phase == engine_phase::prefill) tokens += row.prompt_tokens / 2.0;
  }
  for (const auto& [id, reservation] : ledger.reservations) {
    const bool not_listed_yet = !listed_ids.contains(id) &&
                                now - reservation.granted_at < kMaxDispatchTime;
    if (not_listed_yet) tokens += reservation.tokens;
  }
  ledger.busy_until = now + absl::Seconds(tokens / ledger.tokens_per_second);
}

void UpdatePrefillRate(prefill_ledger& ledger, int tokens,
                       absl::Duration work) {
  if (tokens < kMinRateSampleTokens || work <= absl::ZeroDuration()) return;
  const double rate = tokens / absl::ToDoubleSeconds(work);
  ledger.tokens_per_second +=
      kRateSmoothing * (rate - ledger.tokens_per_second);
}

}  // namespace anvilridge
