#include "placement/list_schedule.h"

#include <algorithm>

namespace anvilridge {
namespace {

// Approximate size of the HTTP request and response headers of a list.
constexpr size_t kListHeaderBytes = 250;
// Approximate size of one row of a list.
constexpr size_t kListRowBytes = 200;

absl::Duration RoutineInterval(const list_policy& policy,
                               const list_conditions& situation) {
  const double round = static_cast<double>(situation.round_bytes);
  const absl::Duration within_budget =
      absl::Seconds(round / policy.bytes_per_second);
  const absl::Duration interval = std::max(policy.min_interval, within_budget);
  const bool small = situation.live_daemons <= policy.small_deployment_daemons;
  return small ? std::min(interval, policy.max_interval_if_small) : interval;
}

// Returns the interval while requests of a lost owner may still appear. It
// grows with the time since the loss, because requests that were in flight at
// the loss reach the engine soon after it or hardly ever.
absl::Duration UnsettledInterval(const list_policy& policy,
                                 const list_conditions& situation,
                                 absl::Time listed) {
  if (situation.has_orphan) return policy.min_unsettled_interval;
  const absl::Duration age = listed - situation.unsettled_since;
  if (age >= policy.settle_time) return absl::InfiniteDuration();
  return std::clamp(age, policy.min_unsettled_interval,
                    policy.max_unsettled_interval);
}

}  // namespace

size_t EstimateListBytes(size_t rows) {
  return kListHeaderBytes + rows * kListRowBytes;
}

absl::Time NextOverdueTime(const list_policy& policy,
                           const decode_ledger& ledger) {
  absl::Time overdue = absl::InfiniteFuture();
  for (const auto& [id, reservation] : ledger.reservations) {
    const absl::Time at = reservation.latest_end + policy.overdue_margin +
                          policy.overdue_use_fraction * reservation.longest_use;
    overdue = std::min(overdue, at);
  }
  return overdue;
}

absl::Time NextListTime(const list_policy& policy,
                        const list_conditions& situation, absl::Time listed) {
  const absl::Time routine = listed + RoutineInterval(policy, situation);
  const absl::Time unsettled =
      listed + UnsettledInterval(policy, situation, listed);
  const absl::Time overdue = std::max(situation.first_overdue_at,
                                      listed + policy.min_overdue_interval);
  return std::min({routine, unsettled, overdue});
}

}  // namespace anvilridge
