#include "claims/claim_batcher.h"

#include <algorithm>

#include "claims/claim_record.h"

namespace anvilridge {
namespace {

/// Part of the log's rate that is for claims; the rest is for configuration
/// and for daemons whose view of the live ones lags.
constexpr double kClaimsPart = 0.5;
/// Part of that for homes; the rest is for daemons that can't reach one.
constexpr double kHomePart = 0.75;
/// Appends that may follow one another at once after a calm.
constexpr double kBurst = 4;

}  // namespace

double AppendShare(const append_share_input& input) {
  const double total = kClaimsPart * input.log_appends_per_second;
  const double home =
      static_cast<double>(input.partitions_at_home) / kClaimPartitions;
  const double even = 1.0 / std::max(1, input.live_daemons);
  return total * (kHomePart * home + (1 - kHomePart) * even);
}

absl::Duration TakeAppend(append_allowance& allowance, absl::Time now) {
  if (allowance.updated == absl::InfinitePast()) {
    allowance.available = kBurst;
  } else {
    const double elapsed = absl::ToDoubleSeconds(now - allowance.updated);
    allowance.available =
        std::min(kBurst, allowance.available + elapsed * allowance.per_second);
  }
  allowance.updated = now;
  if (allowance.available < 1) {
    // Never zero, which would mean that one was taken.
    return std::max(
        absl::Milliseconds(1),
        absl::Seconds((1 - allowance.available) / allowance.per_second));
  }
  allowance.available -= 1;
  return absl::ZeroDuration();
}

size_t BatchSize(absl::Span<const size_t> record_bytes) {
  size_t count = 0;
  size_t bytes = 0;
  for (size_t record : record_bytes) {
    bytes += record;
    if (count > 0 && bytes > kMaxBatchBytes) break;
    if (++count == kMaxBatchRecords) break;
  }
  return count;
}

}  // namespace anvilridge
