#ifndef ANVILRIDGE_CLAIMS_CLAIM_BATCHER_H_
#define ANVILRIDGE_CLAIMS_CLAIM_BATCHER_H_

#include <cstddef>

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace anvilridge {

/// What decides how often one daemon may append claims.
struct append_share_input {
  /// Appends per second that the log grants the whole deployment.
  double log_appends_per_second = 0;
  int live_daemons = 1;
  /// Partitions whose home this daemon is.
  int partitions_at_home = 0;
};

/// Returns the appends per second that this daemon may use. The shares of all
/// daemons add up to the part of the log's rate that claims may use, whatever
/// the number of daemons.
double AppendShare(const append_share_input& input);

/// Allowance of appends, which fills at a steady rate.
struct append_allowance {
  double per_second = 1;
  double available = 1;
  absl::Time updated = absl::InfinitePast();
};

/// Takes one append from the allowance; returns zero, or how long to wait for
/// it. What comes while waiting joins the same append.
absl::Duration TakeAppend(append_allowance& allowance, absl::Time now);

/// Bounds of one append.
inline constexpr size_t kMaxBatchRecords = 256;
inline constexpr size_t kMaxBatchBytes = 512 << 10;

/// Returns how many of the records with these sizes, in order, go into one
/// append; at least one when there is any.
size_t BatchSize(absl::Span<const size_t> record_bytes);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_BATCHER_H_
