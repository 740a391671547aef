#include "placement/decode_ledger.h"

#include <algorithm>
#include <set>
#include <vector>

namespace anvilridge {
namespace {

// Wait suggested when nothing predicts a free place.
constexpr absl::Duration kUnpredictedWait = absl::Milliseconds(200);

// A request that outlasts its prediction is expected to go on for this share
// of its longest use.
constexpr double kOverdueShare = 0.15;
constexpr double kUseLearningShare = 0.05;

// Places and pieces expected in use.
struct ledger_use {
  double slots = 0;
  double pieces = 0;
};

// Probability that a hold has ended at `when`; the remaining time is taken as
// spread evenly up to twice its expectation.
double EndedBy(const decode_hold& hold, absl::Time when, absl::Time now) {
  // A use that no list has shown may have begun later than predicted, but not
  // later than the promise allows.
  if (!hold.seen && now < hold.promised_until) return 0;
  const absl::Duration predicted =
      std::max(hold.predicted_end - now, kOverdueShare * hold.longest_use);
  const absl::Duration remaining = std::min(predicted, hold.latest_end - now);
  const absl::Duration until = when - now;
  if (remaining <= absl::ZeroDuration()) return 1;
  return std::min(1.0, absl::FDivDuration(until, 2 * remaining));
}

ledger_use UseAt(const decode_ledger& ledger, const promise_policy& policy,
                 absl::Time when, absl::Time now) {
  ledger_use use;
  for (const auto& [id, hold] : ledger.holds) {
    const double used = 1 - policy.boldness * EndedBy(hold, when, now);
    use.slots += used;
    use.pieces += used * hold.pieces;
  }
  return use;
}

absl::Duration NextFree(const decode_ledger& ledger, absl::Time now) {
  absl::Duration wait = absl::InfiniteDuration();
  for (const auto& [id, hold] : ledger.holds) {
    wait = std::min(wait, hold.predicted_end - now);
  }
  if (wait == absl::InfiniteDuration()) return kUnpredictedWait;
  return std::max(wait, absl::Milliseconds(5));
}

}  // namespace

decode_answer AskDecode(decode_ledger& ledger, const decode_ask& ask,
                        const promise_policy& policy, absl::Time now) {
  ReleaseDecode(ledger, ask.request_id);
  const absl::Time needed = now + ask.needed_in;
  const ledger_use use = UseAt(ledger, policy, needed, now);
  decode_answer answer;
  // A bold policy rounds the expected number of free places to the nearest.
  const double rounding = policy.boldness / 2;
  answer.free_slots =
      std::max(0, static_cast<int>(ledger.slots - use.slots + rounding));
  answer.free_pieces =
      std::max(0, static_cast<int>(ledger.pieces - use.pieces));
  answer.granted = answer.free_slots > 0 && answer.free_pieces >= ask.pieces;
  if (!answer.granted) {
    answer.free_in = NextFree(ledger, now);
    return answer;
  }
  decode_hold hold;
  hold.owner = ask.owner;
  hold.pieces = ask.pieces;
  hold.starts = needed;
  hold.longest_use = ask.expected_use;
  hold.predicted_end = needed + ledger.use_share * ask.expected_use;
  hold.latest_end = needed + ask.expected_use;
  hold.promised_until = needed + policy.promise_margin;
  ledger.holds.emplace(ask.request_id, hold);
  --answer.free_slots;
  answer.free_pieces -= ask.pieces;
  return answer;
}

absl::Duration WaitForPlace(const decode_ledger& ledger, int waiters) {
  if (ledger.holds.empty()) return waiters * kUnpredictedWait;
  absl::Duration use;
  for (const auto& [id, hold] : ledger.holds) {
    use += ledger.use_share * hold.longest_use;
  }
  // Holds end one after another within the time that each lasts.
  const auto holds = static_cast<int64_t>(ledger.holds.size());
  return waiters * (use / holds / holds);
}

void ReleaseDecode(decode_ledger& ledger, absl::string_view request_id) {
  const auto it = ledger.holds.find(request_id);
  if (it != ledger.holds.end()) ledger.holds.erase(it);
}

void LearnDecodeUse(decode_ledger& ledger, absl::string_view request_id,
                    absl::Time now) {
  const auto it = ledger.holds.find(request_id);
  if (it == ledger.holds.end()) return;
  const decode_hold& hold = it->second;
  if (hold.longest_use <= absl::ZeroDuration() || hold.starts >= now) return;
  const double share = absl::FDivDuration(now - hold.starts, hold.longest_use);
  ledger.use_share += kUseLearningShare * (share - ledger.use_share);
}

void MergeDecodeList(decode_ledger& ledger,
                     absl::Span<const engine_request> listed,
                     absl::Duration token_interval, absl::Time asked,
                     absl::Time now) {
  std::set<absl::string_view> shown;
  for (const engine_request& row : listed) {
    shown.insert(row.request_id);
    decode_hold& hold = ledger.holds[row.request_id];
    const int longest = PiecesFor(row.prompt_tokens + row.max_tokens);
    hold.owner = row.owner;
    hold.pieces = std::max(row.pieces, longest);
    const bool first_seen = !hold.seen;
    hold.seen = true;
    hold.latest_end =
        now + token_interval * std::max(0, row.max_tokens - row.generated);
    if (!first_seen) continue;
    hold.starts = now - token_interval * row.generated;
    hold.longest_use = token_interval * row.max_tokens;
    hold.predicted_end = hold.starts + ledger.use_share * hold.longest_use;
  }
  for (auto it = ledger.holds.begin(); it != ledger.holds.end();) {
    const bool expected = it->second.seen || it->second.promised_until < asked;
    const bool gone = expected && !shown.contains(it->first);
    it = gone ? ledger.holds.erase(it) : std::next(it);
  }
  ledger.listed_at = now;
}

void ExpirePromises(decode_ledger& ledger, const owner_lives& lives,
                    absl::Time now) {
  for (auto it = ledger.holds.begin(); it != ledger.holds.end();) {
    const decode_hold& hold = it->second;
    const bool due = !hold.seen && hold.promised_until < now;
    const bool lapsed = due && !lives(hold.owner);
    it = lapsed ? ledger.holds.erase(it) : std::next(it);
  }
}

}  // namespace anvilridge
