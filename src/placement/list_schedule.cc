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

}  // namespace

size_t ListBytes(size_t rows) { return kListHeadBytes + rows * kListRowBytes; }

absl::Time NextLapse(const decode_ledger& ledger) {
  absl::Time lapse = absl::InfiniteFuture();
  for (const auto& [id, hold] : ledger.holds) {
    if (!hold.seen) lapse = std::min(lapse, hold.promised_until);
  }
  return lapse;
}

absl::Time NextList(const list_policy& policy, const list_situation& situation,
                    absl::Time listed) {
  const absl::Duration routine = RoutineInterval(policy, situation);
  const bool unsettled =
      situation.watching_orphan ||
      listed < situation.daemons_changed + policy.settle_time;
  const absl::Time due =
      listed + (unsettled ? std::min(routine, policy.unsettled) : routine);
  const absl::Time before_lapse = situation.next_lapse - policy.before_lapse;
  return std::max(listed + policy.shortest, std::min(due, before_lapse));
}

}  // namespace anvilridge
