#include "placement/decode_ledger.h"

#include <algorithm>
#include <set>
#include <vector>

namespace anvilridge {
namespace {

// Expected wait when no reservation predicts a free place.
constexpr absl::Duration kDefaultWait = absl::Milliseconds(200);

// A request that outlasts its predicted end is expected to run on for this
// fraction of its longest use.
constexpr double kOverdueUseFraction = 0.15;
// Weight of the newest request in the moving average of `use_fraction`.
constexpr double kUseSmoothing = 0.05;

// Expected number of slots and pieces in use.
struct expected_usage {
  double slots = 0;
  double pieces = 0;
};

// Returns the probability that a reservation has ended by `when`. The remaining
// time is assumed to be uniformly distributed between zero and twice its
// expected value.
double ProbabilityEndedBy(const decode_reservation& reservation,
                          absl::Time when, absl::Time now) {
  // The use of an unlisted place may begin later than predicted, but not later
  // than `listing_due`.
  if (!reservation.listed && now < reservation.listing_due) return 0;
  const absl::Duration predicted =
      std::max(reservation.predicted_end - now,
               kOverdueUseFraction * reservation.longest_use);
  const absl::Duration remaining =
      std::min(predicted, reservation.latest_end - now);
  const absl::Duration until = when - now;
  if (remaining <= absl::ZeroDuration()) return 1;
  return std::min(1.0, absl::FDivDuration(until, 2 * remaining));
}

expected_usage ExpectedUsageAt(const decode_ledger& ledger,
                               const overcommit_policy& policy, absl::Time when,
                               absl::Time now) {
  expected_usage usage;
  for (const auto& [id, reservation] : ledger.reservations) {
    const double used =
        1 - policy.overcommit * ProbabilityEndedBy(reservation, when, now);
    usage.slots += used;
    usage.pieces += used * reservation.pieces;
  }
  return usage;
}

absl::Duration TimeToNextFree(const decode_ledger& ledger, absl::Time now) {
  absl::Duration wait = absl::InfiniteDuration();
  for (const auto& [id, reservation] : ledger.reservations) {
    wait = std::min(wait, reservation.predicted_end - now);
  }
  if (wait == absl::InfiniteDuration()) return kDefaultWait;
  return std::max(wait, absl::Milliseconds(5));
}

}  // namespace

reserve_decode_reply ReserveDecode(decode_ledger& ledger,
                                   const reserve_decode_request& request,
                                   const overcommit_policy& policy,
                                   absl::Time now) {
  ReleaseDecode(ledger, request.request_id);
  const absl::Time needed_at = now + request.needed_in;
  const expected_usage usage = ExpectedUsageAt(ledger, policy, needed_at, now);
  reserve_decode_reply reply;
  // Full overcommit rounds the expected number of free slots to the nearest
  // integer; without overcommit it is rounded down.
  const double rounding = policy.overcommit / 2;
  reply.free_slots =
      std::max(0, static_cast<int>(ledger.slots - usage.slots + rounding));
  reply.free_pieces =
      std::max(0, static_cast<int>(ledger.pieces - usage.pieces));
  reply.granted = reply.free_slots > 0 && reply.free_pieces >= request.pieces;
  if (!reply.granted) {
    reply.free_in = TimeToNextFree(ledger, now);
    return reply;
  }
  decode_reservation reservation;
  reservation.owner = request.owner;
  reservation.pieces = request.pieces;
  reservation.start = needed_at;
  reservation.longest_use = request.expected_use;
  reservation.predicted_end =
      needed_at + ledger.use_fraction * request.expected_use;
  reservation.latest_end = needed_at + request.expected_use;
  reservation.listing_due = needed_at + policy.listing_grace;
  ledger.reservations.emplace(request.request_id, reservation);
  --reply.free_slots;
  reply.free_pieces -= request.pieces;
  return reply;
}

absl::Duration EstimateQueueWait(const decode_ledger& ledger, int waiters) {
  if (ledger.reservations.empty()) return waiters * kDefaultWait;
  absl::Duration total_use;
  for (const auto& [id, reservation] : ledger.reservations) {
    total_use += ledger.use_fraction * reservation.longest_use;
  }
  // The ends of the reservations are assumed to be spread evenly over their
  // mean use.
  const auto count = static_cast<int64_t>(ledger.reservations.size());
  return waiters * (total_use / count / count);
}

void ReleaseDecode(decode_ledger& ledger, absl::string_view request_id) {
  const auto it = ledger.reservations.find(request_id);
  if (it != ledger.reservations.end()) ledger.reservations.erase(it);
}

void UpdateDecodeUse(decode_ledger& ledger, absl::string_view request_id,
                     absl::Time now) {
  const auto it = ledger.reservations.find(request_id);
  if (it == ledger.reservations.end()) return;
  const decode_reservation& place = it->second;
  if (place.longest_use <= absl::ZeroDuration() || place.start >= now) return;
  const double fraction =
      absl::FDivDuration(now - place.start, place.longest_use);
  ledger.use_fraction += kUseSmoothing * (fraction - ledger.use_fraction);
}

void MergeDecodeList(decode_ledger& ledger,
                     absl::Span<const engine_request> rows,
                     absl::Duration token_interval, absl::Time requested_at,
                     absl::Time now) {
  std::set<absl::string_view> listed_ids;
  for (const engine_request& row : rows) {
    listed_ids.insert(row.request_id);
    decode_reservation& reservation = ledger.reservations[row.request_id];
    const int longest = PiecesFor(row.prompt_tokens + row.max_tokens);
    reservation.owner = row.owner;
    reservation.pieces = std::max(row.pieces, longest);
    const bool first_listing = !reservation.listed;
    reservation.listed = true;
    reservation.latest_end =
        now + token_interval * std::max(0, row.max_tokens - row.generated);
    if (!first_listing) continue;
    reservation.start = now - token_interval * row.generated;
    reservation.longest_use = token_interval * row.max_tokens;
    reservation.predicted_end =
        reservation.start + ledger.use_fraction * reservation.longest_use;
  }
  for (auto it = ledger.reservations.begin();
       it != ledger.reservations.end();) {
    const bool must_be_listed =
        it->second.listed || it->second.listing_due < requested_at;
    const bool ended = must_be_listed && !listed_ids.contains(it->first);
    it = ended ? ledger.reservations.erase(it) : std::next(it);
  }
  ledger.list_merged_at = now;
}

void ExpireReservations(decode_ledger& ledger, const owner_liveness& is_live,
                        absl::Time now) {
  for (auto it = ledger.reservations.begin();
       it != ledger.reservations.end();) {
    const decode_reservation& reservation = it->second;
    const bool listing_overdue =
        !reservation.listed && reservation.listing_due < now;
    const bool expired = listing_overdue && !is_live(reservation.owner);
    it = expired ? ledger.reservations.erase(it) : std::next(it);
  }
}

}  // namespace anvilridge
