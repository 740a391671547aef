#ifndef ANVILRIDGE_DISPATCH_DECODE_MEMORY_H_
#define ANVILRIDGE_DISPATCH_DECODE_MEMORY_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace anvilridge {

/// A request that generates at a decode engine, or has memory reserved there.
struct decode_run {
  /// Tokens in KV memory at `since`.
  double context = 0;
  /// Tokens expected to be generated after `since`.
  double remaining = 0;
  absl::Time since;
};

/// Returns the expected state of `run` at `now` when it generates
/// `tokens_per_ms`. A run that should have ended is returned with no tokens
/// remaining; one that begins after `now` is returned unchanged.
decode_run ExtrapolateRun(const decode_run& run, absl::Time now,
                          double tokens_per_ms);

/// Returns the largest number of tokens that `runs` are expected to hold
/// together from now on. All runs generate at the same speed, so memory use
/// peaks just before one of them ends.
double PeakTokens(absl::Span<const decode_run> runs);

/// Result of `ForecastCapacity`.
struct capacity_forecast {
  /// Time until the run fits; infinite when it never fits.
  absl::Duration wait;
};

/// Returns when `run` is expected to fit beside `runs` at an engine that holds
/// up to `capacity` tokens and `slots` runs, each of which generates
/// `tokens_per_ms`.
capacity_forecast ForecastCapacity(absl::Span<const decode_run> runs,
                                   const decode_run& run, double capacity,
                                   int slots, double tokens_per_ms);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DECODE_MEMORY_H_
