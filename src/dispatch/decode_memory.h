#ifndef ANVILRIDGE_DISPATCH_DECODE_MEMORY_H_
#define ANVILRIDGE_DISPATCH_DECODE_MEMORY_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace anvilridge {

/// One request that an engine generates, or is promised to.
struct decode_run {
  /// Tokens in memory at `since`.
  double context = 0;
  /// Tokens expected to be generated after `since`.
  double remaining = 0;
  absl::Time since;
};

/// Returns `run` as it is expected to stand at `now`, at `tokens_per_ms`. A run
/// that should have ended stays with nothing remaining.
decode_run RunAt(const decode_run& run, absl::Time now, double tokens_per_ms);

/// Returns the most tokens that `runs` are expected to hold together from now
/// on. All generate at one speed, so memory peaks just before one of them ends.
double PeakTokens(absl::Span<const decode_run> runs);

/// When room is expected.
struct room_forecast {
  /// How long from now until the run fits; infinite when it never does.
  absl::Duration wait;
};

/// Returns when `run` is expected to fit beside `runs` within `capacity` tokens
/// and `slots` runs.
room_forecast ForecastRoom(absl::Span<const decode_run> runs,
                           const decode_run& run, double capacity, int slots,
                           double tokens_per_ms);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DECODE_MEMORY_H_
