#include "placement/decode_ledger.h"

#include <algorithm>
#include <set>
#include <vector>

namespace anvilridge {
namespace {

// Wait suggested when nothing predicts a free place.
constexpr absl::Duration kUnpredictedWait = absl::Milliseconds(200);

struct ledger_use {
  int slots = 0;
  int pieces = 0;
};

// A hold counts as used at `when` unless its predicted end, stretched by the
// caution of the policy, has passed.
bool UsedAt(const decode_hold& hold, const promise_policy& policy,
            absl::Time when, absl::Time now) {
  if (policy.boldness <= 0) return true;
  const absl::Duration remaining = hold.predicted_end - now;
  return now + remaining / policy.boldness > when;
}

ledger_use UseAt(const decode_ledger& ledger, const promise_policy& policy,
                 absl::Time when, absl::Time now) {
  ledger_use use;
  for (const auto& [id, hold] : ledger.holds) {
    if (!UsedAt(hold, policy, when, now)) continue;
    ++use.slots;
    use.pieces += hold.pieces;
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
  ExpirePromises(ledger, now);
  ReleaseDecode(ledger, ask.request_id);
  const absl::Time needed = now + ask.needed_in;
  const ledger_use use = UseAt(ledger, policy, needed, now);
  decode_answer answer;
  answer.free_slots = std::max(0, ledger.slots - use.slots);
  answer.free_pieces = std::max(0, ledger.pieces - use.pieces);
  answer.granted = answer.free_slots > 0 && answer.free_pieces >= ask.pieces;
  if (!answer.granted) {
    answer.free_in = NextFree(ledger, now);
    return answer;
  }
  decode_hold hold;
  hold.owner = ask.owner;
  hold.pieces = ask.pieces;
  hold.starts = needed;
  hold.predicted_end = needed + ask.expected_use;
  hold.promised_until = needed + policy.promise_margin;
  ledger.holds.emplace(ask.request_id, hold);
  --answer.free_slots;
  answer.free_pieces -= ask.pieces;
  return answer;
}

void ReleaseDecode(decode_ledger& ledger, absl::string_view request_id) {
  const auto it = ledger.holds.find(request_id);
  if (it != ledger.holds.end()) ledger.holds.erase(it);
}

void MergeDecodeList(decode_ledger& ledger,
                     absl::Span<const engine_request> listed,
                     absl::Duration token_interval, absl::Time now) {
  std::set<absl::string_view> shown;
  for (const engine_request& row : listed) {
    shown.insert(row.request_id);
    auto [it, inserted] = ledger.holds.try_emplace(row.request_id);
    decode_hold& hold = it->second;
    const int longest = PiecesFor(row.prompt_tokens + row.max_tokens);
    hold.owner = row.owner;
    hold.pieces = std::max(row.pieces, longest);
    if (inserted) hold.starts = now;
    hold.seen = true;
    hold.predicted_end =
        now + token_interval * std::max(0, row.max_tokens - row.generated);
  }
  for (auto it = ledger.holds.begin(); it != ledger.holds.end();) {
    const bool gone = it->second.seen && !shown.contains(it->first);
    it = gone ? ledger.holds.erase(it) : std::next(it);
  }
  ledger.listed_at = now;
}

void ExpirePromises(decode_ledger& ledger, absl::Time now) {
  for (auto it = ledger.holds.begin(); it != ledger.holds.end();) {
    const bool lapsed = !it->second.seen && it->second.promised_until < now;
    it = lapsed ? ledger.holds.erase(it) : std::next(it);
  }
}

}  // namespace anvilridge
