#include "claims/claim_batcher.h"

#include <algorithm>

#include "claims/claim_record.h"

namespace anvilridge {
namespace {

/// Fraction of the log's append rate for claims. The rest is for configuration
/// and for daemons whose list of live daemons is out of date.
constexpr double kClaimsRateFraction = 0.5;
/// Fraction of the claims rate that is divided among homes by their partitions.
/// The rest is divided evenly among all daemons, for appends by daemons that
/// can't reach a home.
constexpr double kHomeRateFraction = 0.75;
/// Appends that may start without delay after an idle period.
constexpr double kMaxAppendBurst = 4;

}  // namespace

double DaemonAppendRate(const append_rate_input& input) {
  const double claims_rate = kClaimsRateFraction * input.log_appends_per_second;
  const double home_share =
      static_cast<double>(input.home_partitions) / kClaimPartitions;
  const double even_share = 1.0 / std::max(1, input.live_daemons);
  return claims_rate * (kHomeRateFraction * home_share +
                        (1 - kHomeRateFraction) * even_share);
}

absl::Duration AcquireAppend(append_rate_limiter& limiter, absl::Time now) {
  if (limiter.updated == absl::InfinitePast()) {
    limiter.available = kMaxAppendBurst;
  } else {
    const double elapsed = absl::ToDoubleSeconds(now - limiter.updated);
    limiter.available = std::min(
        kMaxAppendBurst, limiter.available + elapsed * limiter.per_second);
  }
  limiter.updated = now;
  if (limiter.available < 1) {
    // At least 1 ms, since zero means that an append was consumed.
    return std::max(
        absl::Milliseconds(1),
        absl::Seconds((1 - limiter.available) / limiter.per_second));
  }
  limiter.available -= 1;
  return absl::ZeroDuration();
}

size_t BatchSize(absl::Span<const size_t> record_bytes) {
  size_t count = 0;
  size_t bytes = 0;
  for (size_t size : record_bytes) {
    bytes += size;
    if (count > 0 && bytes > kMaxBatchBytes) break;
    if (++count == kMaxBatchRecords) break;
  }
  return count;
}

}  // namespace anvilridge
