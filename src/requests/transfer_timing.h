#ifndef ANVILRIDGE_REQUESTS_TRANSFER_TIMING_H_
#define ANVILRIDGE_REQUESTS_TRANSFER_TIMING_H_

#include "absl/time/time.h"

namespace anvilridge {

/// What recent transfers of KV caches took, smoothed; the means of one traffic
/// thread.
struct transfer_timing {
  int samples = 0;
  /// Time of a transfer and its mean deviation, for each piece.
  absl::Duration per_piece;
  absl::Duration deviation;
};

/// Longest time that any transfer may take, and the timeout while too few were
/// seen.
inline constexpr absl::Duration kLongestTransfer = absl::Seconds(2);

/// Learns from a transfer of `pieces` that took `took`.
void LearnTransfer(transfer_timing& timing, int pieces, absl::Duration took);

/// Returns the time after which a transfer of `pieces` counts as stalled.
absl::Duration TransferTimeout(const transfer_timing& timing, int pieces);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_TRANSFER_TIMING_H_
