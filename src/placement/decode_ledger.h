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

/// Returns the number of pieces that hold `tokens` tokens, rounded up.
constexpr int PiecesFor(int tokens) {
  return (tokens + kTokensPerPiece - 1) / kTokensPerPiece;
}

/// One decode place (a decode slot and KV cache pieces) that is reserved for a
/// request or in use by it.
struct decode_reservation {
  /// `daemon:incarnation` that placed the request.
  std::string owner;
  /// KV cache pieces for the prompt and the longest output allowed.
  int pieces = 0;
  /// When the use of the place should begin; once the engine has listed the
  /// request, the estimated time at which it began to generate.
  absl::Time start;
  /// Longest expected use: the output limit times the token interval.
  absl::Duration longest_use;
  /// When the place should become free, predicted from the actual use of
  /// finished requests.
  absl::Time predicted_end;
  /// When the place becomes free at the latest, unless the engine slows down.
  absl::Time latest_end;
  /// Time by which the engine must list the request. After it, a reservation
  /// that is still unlisted is removed when a list requested later omits the
  /// request or when the owner is not known to be live.
  absl::Time listing_due;
  /// Whether a list of the engine has contained the request.
  bool listed = false;
};

/// Reservations at one decode engine, kept by the engine's home. Soft state,
/// rebuilt from the engine's own list of requests.
struct decode_ledger {
  int slots = 0;
  int pieces = 0;
  /// By request id.
  std::map<std::string, decode_reservation, std::less<>> reservations;
  /// Moving average of the actual use of finished requests, as a fraction of
  /// their longest expected use.
  double use_fraction = 1;
  /// When the engine's list was last merged; infinite past for never.
  absl::Time list_merged_at = absl::InfinitePast();
};

/// Request to a decode engine's home for a decode place.
struct reserve_decode_request {
  std::string request_id;
  std::string owner;
  int pieces = 0;
  /// Time until the place is needed: the prefill and the transfer come first.
  absl::Duration needed_in;
  /// Longest expected use of the place, from the time when it is needed.
  absl::Duration expected_use;
  /// How long the home may delay its reply until a place becomes free.
  absl::Duration max_queue_wait = absl::ZeroDuration();
  std::string team;
  /// Weight and priority of the team. Not part of the message: the home sets
  /// both from its configuration.
  double weight = 1;
  int priority = 5;
};

/// Reply of a decode engine's home to a reservation request.
struct reserve_decode_reply {
  /// Whether the place is reserved.
  bool granted = false;
  /// Slots and pieces that are expected to remain free when the place is
  /// needed.
  int free_slots = 0;
  int free_pieces = 0;
  /// Shortest wait after which a new request may succeed; zero if granted.
  absl::Duration free_in;
};

/// How far a home reserves decode places that are not free yet.
struct overcommit_policy {
  /// Fraction of the places expected to become free by the time of need that
  /// may be reserved: 1 for all of them, 0 for only what is free now.
  double overcommit = 0;
  /// Time after the place is needed within which the engine must list the
  /// request.
  absl::Duration listing_grace = absl::Seconds(5);
};

/// Reserves a place for `request` at `now`, or refuses it. Releases any earlier
/// reservation of the same request id first, so that a repeated request renews
/// its reservation.
reserve_decode_reply ReserveDecode(decode_ledger& ledger,
                                   const reserve_decode_request& request,
                                   const overcommit_policy& policy,
                                   absl::Time now);

/// Returns the expected wait of the last of `waiters` queued requests, when no
/// place is free now.
absl::Duration EstimateQueueWait(const decode_ledger& ledger, int waiters);

/// Removes the reservation of `request_id`; ignores unknown ids.
void ReleaseDecode(decode_ledger& ledger, absl::string_view request_id);

/// Updates the ledger's `use_fraction` from the reservation of `request_id`,
/// whose response is complete. Must precede the release of the reservation.
void UpdateDecodeUse(decode_ledger& ledger, absl::string_view request_id,
                     absl::Time now);

/// Merges `rows`, the engine's own list of requests, which was requested at
/// `requested_at` and received at `now`. Every listed request gets a
/// reservation. A reservation that the list omits is removed if an earlier list
/// contained it or if the engine should have listed it before `requested_at`.
/// `token_interval` is the assumed time between two tokens of a request.
void MergeDecodeList(decode_ledger& ledger,
                     absl::Span<const engine_request> rows,
                     absl::Duration token_interval, absl::Time requested_at,
                     absl::Time now);

/// Returns whether an owner (`daemon:incarnation`) is known to be live.
using owner_liveness = std::function<bool(absl::string_view owner)>;

/// Removes the unlisted reservations that the engine should have listed before
/// `now` and whose owner is not known to be live. A reservation of a live owner
/// stays until the owner releases it or a list of the engine ends it.
void ExpireReservations(decode_ledger& ledger, const owner_liveness& is_live,
                        absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_DECODE_LEDGER_H_
