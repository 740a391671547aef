#ifndef ANVILRIDGE_PLACEMENT_PREFILL_LEDGER_H_
#define ANVILRIDGE_PLACEMENT_PREFILL_LEDGER_H_

#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "upstreams/engine_client.h"

namespace anvilridge {

/// Prompt tokens queued at a prefill engine for one request.
struct prefill_hold {
  std::string owner;
  int tokens = 0;
  absl::Time granted;
  /// When the prefill should be done.
  absl::Time predicted_end;
};

/// What the home of a prefill engine knows of its queue; soft state.
struct prefill_ledger {
  std::map<std::string, prefill_hold, std::less<>> holds;
  /// When the work promised and listed so far should be done.
  absl::Time busy_until = absl::InfinitePast();
  /// Tokens per second, learned from finished prefills.
  double tokens_per_second = 8000;
};

struct prefill_ask {
  std::string request_id;
  std::string owner;
  /// Prompt tokens that are not expected in the engine's prefix cache.
  int tokens = 0;
  /// The longest wait in the queue that still serves the request.
  absl::Duration longest_wait;
  /// Failure domain that the result is to go to; empty for the engine's own.
  std::string to_domain = {};
  /// Pieces of that result; zero inside the failure domain.
  int pieces = 0;
};

struct prefill_answer {
  bool granted = false;
  /// Predicted wait before the prefill starts.
  absl::Duration wait;
  /// Predicted time of the prefill itself.
  absl::Duration work;
  /// Whether the budget of the link has no room for the transfer; `wait` is
  /// then the time until it has.
  bool link_full = false;
};

/// Grants a place in the queue unless the wait would be longer than asked.
prefill_answer AskPrefill(prefill_ledger& ledger, const prefill_ask& ask,
                          absl::Time now);

/// Forgets the hold of `request_id`; unknown ids are ignored.
void ReleasePrefill(prefill_ledger& ledger, absl::string_view request_id);

/// Takes over what the engine itself lists.
void MergePrefillList(prefill_ledger& ledger,
                      absl::Span<const engine_request> listed, absl::Time now);

/// Learns the engine's rate from a prefill of `tokens` that took `work`.
void LearnPrefillRate(prefill_ledger& ledger, int tokens, absl::Duration work);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_PREFILL_LEDGER_H_
