#ifndef ANVILRIDGE_PLACEMENT_PREFILL_LEDGER_H_
#define ANVILRIDGE_PLACEMENT_PREFILL_LEDGER_H_

#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "upstreams/engine_client.h"

namespace anvilridge {

/// Place of one request in the queue of a prefill engine.
struct prefill_reservation {
  /// `daemon:incarnation` that placed the request.
  std::string owner;
  /// Prompt tokens to prefill.
  int tokens = 0;
  /// When the home made the reservation.
  absl::Time granted_at;
  /// When the prefill should end.
  absl::Time predicted_end;
};

/// Queue of one prefill engine as estimated by the engine's home. Soft state,
/// corrected by the engine's own list of requests.
struct prefill_ledger {
  /// By request id.
  std::map<std::string, prefill_reservation, std::less<>> reservations;
  /// When the engine should have finished all reserved and listed prefills.
  absl::Time busy_until = absl::InfinitePast();
  /// Prefill rate of the engine: a moving average over finished prefills.
  double tokens_per_second = 8000;
};

/// Request to a prefill engine's home for a place in the engine's queue.
struct reserve_prefill_request {
  std::string request_id;
  std::string owner;
  /// Prompt tokens to prefill: those not expected in the engine's prefix cache.
  int tokens = 0;
  /// Longest acceptable wait in the engine's queue; refused above it.
  absl::Duration longest_wait;
  /// Failure domain that the KV cache is transferred to; empty for the engine's
  /// own.
  std::string to_domain = {};
  /// KV cache pieces to transfer; zero inside the engine's failure domain.
  int pieces = 0;
};

/// Reply of a prefill engine's home to a reservation request.
struct reserve_prefill_reply {
  /// Whether the place is reserved.
  bool granted = false;
  /// Predicted wait before the prefill starts.
  absl::Duration wait;
  /// Predicted duration of the prefill itself.
  absl::Duration work;
  /// Whether the link's budget has no capacity for the transfer. `wait` is then
  /// the time until it has.
  bool link_full = false;
};

/// Reserves a place in the queue for `request` at `now`, or refuses it if the
/// predicted wait exceeds the request's longest wait. Releases any earlier
/// reservation of the same request id first.
reserve_prefill_reply ReservePrefill(prefill_ledger& ledger,
                                     const reserve_prefill_request& request,
                                     absl::Time now);

/// Removes the reservation of `request_id`; ignores unknown ids.
void ReleasePrefill(prefill_ledger& ledger, absl::string_view request_id);

/// Recomputes `busy_until` from the engine's own list, received at `now`, and
/// from reservations so recent that the engine may not list them yet.
void MergePrefillList(prefill_ledger& ledger,
                      absl::Span<const engine_request> listed, absl::Time now);

/// Updates the engine's prefill rate from a prefill of `tokens` tokens that
/// took `work`. Ignores prefills that are too short to measure the rate.
void UpdatePrefillRate(prefill_ledger& ledger, int tokens, absl::Duration work);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_PREFILL_LEDGER_H_
