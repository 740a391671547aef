#include "placement/prefill_ledger.h"

#include <algorithm>
#include <set>

namespace anvilridge {
namespace {

// A promise whose request the engine never shows lapses after this time past
// its predicted start.
constexpr absl::Duration kPromiseMargin = absl::Seconds(2);
constexpr double kRateLearningShare = 0.1;
// Prefills shorter than this are dominated by overhead and teach nothing.
constexpr int kSmallestLessonTokens = 64;

double QueuedTokens(const prefill_ledger& ledger) {
  double tokens = 0;
  for (const auto& [id, hold] : ledger.holds) tokens += hold.tokens;
  return tokens;
}

void ExpireLapsed(prefill_ledger& ledger, absl::Time now) {
  for (auto it = ledger.holds.begin(); it != ledger.holds.end();) {
    const bool lapsed = !it->second.seen && it->second.promised_until < now;
    it = lapsed ? ledger.holds.erase(it) : std::next(it);
  }
}

}  // namespace

prefill_answer AskPrefill(prefill_ledger& ledger, const prefill_ask& ask,
                          absl::Time now) {
  ExpireLapsed(ledger, now);
  ReleasePrefill(ledger, ask.request_id);
  prefill_answer answer;
  answer.wait = absl::Seconds(QueuedTokens(ledger) / ledger.tokens_per_second);
  answer.work = absl::Seconds(ask.tokens / ledger.tokens_per_second);
  answer.granted = answer.wait <= ask.longest_wait;
  if (!answer.granted) return answer;
  prefill_hold hold;
  hold.owner = ask.owner;
  hold.tokens = ask.tokens;
  hold.promised_until = now + answer.wait + answer.work + kPromiseMargin;
  ledger.holds.emplace(ask.request_id, hold);
  return answer;
}

void ReleasePrefill(prefill_ledger& ledger, absl::string_view request_id) {
  const auto it = ledger.holds.find(request_id);
  if (it != ledger.holds.end()) ledger.holds.erase(it);
}

void MergePrefillList(prefill_ledger& ledger,
                      absl::Span<const engine_request> listed, absl::Time now) {
  std::set<absl::string_view> working;
  for (const engine_request& row : listed) {
    const bool done =
        row.phase != engine_phase::queued && row.phase != engine_phase::prefill;
    if (done) continue;
    working.insert(row.request_id);
    auto [it, inserted] = ledger.holds.try_emplace(row.request_id);
    it->second.owner = row.owner;
    it->second.seen = true;
    if (inserted) it->second.tokens = row.prompt_tokens;
  }
  for (auto it = ledger.holds.begin(); it != ledger.holds.end();) {
    const bool gone = it->second.seen && !working.contains(it->first);
    it = gone ? ledger.holds.erase(it) : std::next(it);
  }
  ExpireLapsed(ledger, now);
}

void LearnPrefillRate(prefill_ledger& ledger, int tokens, absl::Duration work) {
  if (tokens < kSmallestLessonTokens || work <= absl::ZeroDuration()) return;
  const double rate = tokens / absl::ToDoubleSeconds(work);
  ledger.tokens_per_second +=
      kRateLearningShare * (rate - ledger.tokens_per_second);
}

}  // namespace anvilridge
