#ifndef ANVILRIDGE_PLACEMENT_DECODE_LEDGER_H_
#define ANVILRIDGE_PLACEMENT_DECODE_LEDGER_H_

#include <functional>
#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "upstreams/engine_client.h"

namespace anvilridge {

/// Tokens in one piece of KV cache.
inline constexpr int kTokensPerPiece = 16;

/// Returns the pieces that hold `tokens` tokens.
constexpr int PiecesFor(int tokens) {
  return (tokens + kTokensPerPiece - 1) / kTokensPerPiece;
}

/// A decode place that is promised or in use.
struct decode_hold {
  std::string owner;
  /// Pieces of prompt and of the longest output allowed.
  int pieces = 0;
  /// When the request should need the place.
  absl::Time starts;
  /// Longest use expected: the output limit at the token interval.
  absl::Duration longest_use;
  /// When the place should be free again, by the use of earlier requests.
  absl::Time predicted_end;
  /// When it must be free unless the engine slows down.
  absl::Time latest_end;
  /// From then on the engine must show the request: its list ends a promise
  /// that it does not show, and so does the death of the owner.
  absl::Time promised_until;
  /// Whether the engine's own list has shown the request.
  bool seen = false;
};

/// What the home of a decode engine knows of its places; soft state, rebuilt
/// from the engine's own list of requests.
struct decode_ledger {
  int slots = 0;
  int pieces = 0;
  std::map<std::string, decode_hold, std::less<>> holds;
  /// Use of finished requests as a share of their longest use, learned.
  double use_share = 1;
  /// Time of the last list merged; infinite past for none.
  absl::Time listed_at = absl::InfinitePast();
};

/// What is asked of a decode engine's home.
struct decode_ask {
  std::string request_id;
  std::string owner;
  int pieces = 0;
  /// When the place will be needed: after prefill and transfer.
  absl::Duration needed_in;
  /// How long the place will be used from then on.
  absl::Duration expected_use;
  /// How long the answer may be put off until a place comes free.
  absl::Duration may_wait = absl::ZeroDuration();
  std::string team;
  /// Of the team, which the home knows from the configuration.
  double weight = 1;
  int priority = 5;
};

struct decode_answer {
  bool granted = false;
  int free_slots = 0;
  int free_pieces = 0;
  /// Shortest wait after which asking again may succeed.
  absl::Duration free_in;
};

/// How boldly places are promised that are not free yet.
struct promise_policy {
  /// How far the places that are expected to come free until the need may be
  /// promised: 1 all of them, 0 only what is free now.
  double boldness = 0;
  /// How long past the need the engine may not show the request yet.
  absl::Duration promise_margin = absl::Seconds(5);
};

/// Grants or refuses a place for `ask` at `now`. Asking again for a request
/// that already has a promise renews it.
decode_answer AskDecode(decode_ledger& ledger, const decode_ask& ask,
                        const promise_policy& policy, absl::Time now);

/// Returns how long the last of `waiters` requests has to wait for a place that
/// is not free now.
absl::Duration WaitForPlace(const decode_ledger& ledger, int waiters);

/// Forgets the hold of `request_id`; unknown ids are ignored.
void ReleaseDecode(decode_ledger& ledger, absl::string_view request_id);

/// Learns from the hold of a request that is about to be released because its
/// answer is whole.
void LearnDecodeUse(decode_ledger& ledger, absl::string_view request_id,
                    absl::Time now);

/// Takes over what the engine itself listed when asked at `asked`: requests it
/// shows are held; seen ones that it no longer shows are free, and so are those
/// that it should have shown by then.
void MergeDecodeList(decode_ledger& ledger,
                     absl::Span<const engine_request> listed,
                     absl::Duration token_interval, absl::Time asked,
                     absl::Time now);

/// Whether an owner (`daemon:incarnation`) is known to live.
using owner_lives = std::function<bool(absl::string_view owner)>;

/// Drops promises that the engine should have shown and whose owner is not
/// known to live. A live owner keeps its promise: it releases it, or a list
/// shows what became of it.
void ExpirePromises(decode_ledger& ledger, const owner_lives& lives,
                    absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_DECODE_LEDGER_H_
