#include "placement/list_schedule.h"

#include <algorithm>

namespace anvilridge {
namespace {

// Of an engine's list: request and answer heads, and one row.
constexpr size_t kListHeadBytes = 250;
constexpr size_t kListRowBytes = 200;

absl::Duration RoutineInterval(const list_policy& policy,
                               const list_situation& situation) {
  const double round = static_cast<double>(situation.round_bytes);
  const absl::Duration fitting = absl::Seconds(round / policy.bytes_per_second);
  const absl::Duration interval = std::max(policy.shortest, fitting);
  const bool small = situation.live_daemons <= policy.small_deployment;
  return small ? std::min(interval, policy.longest_if_small) : interval;
}

// While requests of a lost owner may come to light; ever rarer, since what its
// death has left in flight arrives soon or hardly ever.
absl::Duration UnsettledInterval(const list_policy& policy,
                                 const list_situation& situation,
                                 absl::Time listed) {
  if (situation.watching_orphan) return policy.unsettled;
  const absl::Duration age = listed - situation.unsettled_since;
  if (age >= policy.settle_time) return absl::InfiniteDuration();
  return std::clamp(age, policy.unsettled, policy.longest_unsettled);
}

}  // namespace

size_t ListBytes(size_t rows) { return kListHeadBytes + rows * kListRowBytes; }

absl::Time NextOverdue(const list_policy& policy, const decode_ledger& ledger) {
  absl::Time overdue = absl::InfiniteFuture();
  for (const auto& [id, hold] : ledger.holds) {
    const absl::Time at = hold.latest_end + policy.overdue_margin +
                          policy.overdue_share * hold.longest_use;
    overdue = std::min(overdue, at);
  }
  return overdue;
}

absl::Time NextList(const list_policy& policy, const list_situation& situation,
                    absl::Time listed) {
  const absl::Time routine = listed + RoutineInterval(policy, situation);
  const absl::Time unsettled =
      listed + UnsettledInterval(policy, situation, listed);
  const absl::Time overdue =
      std::max(situation.overdue, listed + policy.overdue_interval);
  return std::min({routine, unsettled, overdue});
}

}  // namespace anvilridge
