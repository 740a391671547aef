#ifndef ANVILRIDGE_CLAIMS_CLAIM_BATCHER_H_
#define ANVILRIDGE_CLAIMS_CLAIM_BATCHER_H_

#include <cstddef>

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace anvilridge {

/// Inputs for the append rate of one daemon.
struct append_rate_input {
  /// Appends per second that the log accepts from the whole deployment.
  double log_appends_per_second = 0;
  int live_daemons = 1;
  /// Number of partitions whose home is this daemon.
  int home_partitions = 0;
};

/// Returns the number of claim appends per second allowed for one daemon. The
/// rates of all daemons add up to the fraction of the log's rate that is
/// reserved for claims, for any number of daemons.
double DaemonAppendRate(const append_rate_input& input);

/// Token bucket that limits the rate of appends.
struct append_rate_limiter {
  double per_second = 1;
  /// Appends that may start now.
  double available = 1;
  absl::Time updated = absl::InfinitePast();
};

/// Consumes one append and returns zero, or returns the time to wait before
/// the next call if none is available. Records that arrive during that wait
/// can go into the same append.
absl::Duration AcquireAppend(append_rate_limiter& limiter, absl::Time now);

/// Limits of one append. A single record may exceed the limit on bytes.
inline constexpr size_t kMaxBatchRecords = 256;
inline constexpr size_t kMaxBatchBytes = 512 << 10;

/// Returns the number of leading records that go into one append, given the
/// sizes of all records in order. At least one record goes in if there is any,
/// even if it is larger than `kMaxBatchBytes`.
size_t BatchSize(absl::Span<const size_t> record_bytes);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_BATCHER_H_
