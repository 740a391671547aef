#include "requests/transfer_timing.h"

#include <algorithm>

namespace anvilridge {
namespace {

// Gains and the multiple of the deviation of RFC 6298, which has the same task
// for the round trips of TCP.
constexpr double kMeanGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;
constexpr double kDeviations = 4;
constexpr int kLeastSamples = 8;
// A transfer that waits its turn on a link is not stalled.
constexpr double kTurnsOnLink = 3;
constexpr absl::Duration kShortestTimeout = absl::Milliseconds(200);

}  // namespace

void LearnTransfer(transfer_timing& timing, int pieces, absl::Duration took) {
  const absl::Duration sample = took / std::max(1, pieces);
  if (timing.samples++ == 0) {
    timing.per_piece = sample;
    timing.deviation = sample / 2;
    return;
  }
  const absl::Duration error = sample - timing.per_piece;
  timing.deviation +=
      kDeviationGain * (absl::AbsDuration(error) - timing.deviation);
  timing.per_piece += kMeanGain * error;
}

absl::Duration TransferTimeout(const transfer_timing& timing, int pieces) {
  if (timing.samples < kLeastSamples) return kLongestTransfer;
  const absl::Duration per_piece =
      kTurnsOnLink * timing.per_piece + kDeviations * timing.deviation;
  return std::clamp(std::max(1, pieces) * per_piece, kShortestTimeout,
                    kLongestTransfer);
}

}  // namespace anvilridge
