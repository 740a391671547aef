#include "placement/prefill_ledger.h"

#include <algorithm>
#include <set>

namespace anvilridge {
namespace {

// Time in which a promised prefill that the engine does not list yet may still
// be on its way to it.
constexpr absl::Duration kOnItsWay = absl::Milliseconds(60);
constexpr double kRateLearningShare = 0.1;
// Prefills shorter than this are dominated by overhead and teach nothing.
constexpr int kSmallestLessonTokens = 64;

void ForgetDone(prefill_ledger& ledger, absl::Time now) {
  std::erase_if(ledger.holds, [now](const auto& entry) {
    return entry.second.predicted_end < now;
  });
}

}  // namespace

prefill_answer AskPrefill(prefill_ledger& ledger, const prefill_ask& ask,
                          absl::Time now) {
  ForgetDone(ledger, now);
  ReleasePrefill(ledger, ask.request_id);
  const absl::Time starts = std::max(now, ledger.busy_until);
  prefill_answer answer;
  answer.wait = starts - now;
  answer.work = absl::Seconds(ask.tokens / ledger.tokens_per_second);
  answer.granted = answer.wait <= ask.longest_wait;
  if (!answer.granted) return answer;
  ledger.busy_until = starts + answer.work;
  ledger.holds[ask.request_id] = {ask.owner, ask.tokens, now,
                                  ledger.busy_until};
  return answer;
}

void ReleasePrefill(prefill_ledger& ledger, absl::string_view request_id) {
  const auto it = ledger.holds.find(request_id);
  if (it != ledger.holds.end()) ledger.holds.erase(it);
}

void MergePrefillList(prefill_ledger& ledger,
                      absl::Span<const engine_request> listed, absl::Time now) {
  ForgetDone(ledger, now);
  std::set<absl::string_view> shown;
  double tokens = 0;
  for (const engine_request& row : listed) {
    shown.insert(row.request_id);
    if (row.phase == engine_phase::queued) tokens += row.prompt_tokens;
    if (row.phase == engine_phase::prefill) tokens += row.prompt_tokens / 2.0;
  }
  for (const auto& [id, hold] : ledger.holds) {
    const bool on_its_way =
        !shown.contains(id) && now - hold.granted < kOnItsWay;
    if (on_its_way) tokens += hold.tokens;
  }
  ledger.busy_until = now + absl::Seconds(tokens / ledger.tokens_per_second);
}

void LearnPrefillRate(prefill_ledger& ledger, int tokens, absl::Duration work) {
  if (tokens < kSmallestLessonTokens || work <= absl::ZeroDuration()) return;
  const double rate = tokens / absl::ToDoubleSeconds(work);
  ledger.tokens_per_second +=
      kRateLearningShare * (rate - ledger.tokens_per_second);
}

}  // namespace anvilridge
