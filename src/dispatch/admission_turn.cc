#include "dispatch/admission_turn.h"

#include <xxhash.h>

#include <cmath>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

// Time slice of one daemon: the daemon checks for free capacity every 20 ms,
// and its reservation reaches the next daemon within another 20 ms.
constexpr absl::Duration kTurnLength = absl::Milliseconds(40);
// How long the number of an engine's runs must have been unchanged before the
// first slice: runs that other daemons have begun or ended are reported by
// then.
constexpr absl::Duration kRunsSettleTime = absl::Milliseconds(20);
// Free capacity that was not observed for this long counts as newly observed.
constexpr absl::Duration kObservationLifetime = absl::Milliseconds(50);

// Score of a daemon in weighted rendezvous hashing: the probability that a
// daemon has the largest score is its share of all waiting streams.
double Score(uint32_t engine, size_t runs, const waiting_daemon& daemon) {
  const std::string text = absl::StrCat(engine, "/", runs, "/", daemon.name);
  // Uniform in the open interval (0, 1), with as many bits as a double holds.
  const double draw =
      (static_cast<double>(XXH64(text.data(), text.size(), 0) >> 12) + 0.5) *
      std::pow(2.0, -52);
  return -daemon.streams / std::log(draw);
}

}  // namespace

size_t TurnRank(uint32_t engine, size_t runs, const waiting_daemon& own,
                absl::Span<const waiting_daemon> others) {
  const double score = Score(engine, runs, own);
  size_t rank = 0;
  for (const waiting_daemon& other : others) {
    if (Score(engine, runs, other) > score) ++rank;
  }
  return rank;
}

bool MayUseCapacity(capacity_observations& observed_capacity, uint32_t engine,
                    size_t runs, size_t rank, size_t daemons, absl::Time now) {
  capacity_observation& observation = observed_capacity[engine];
  if (observation.runs != runs ||
      now - observation.last > kObservationLifetime) {
    observation = {now, now, runs};
  }
  observation.last = now;
  const absl::Duration elapsed = now - observation.since - kRunsSettleTime;
  if (elapsed < absl::ZeroDuration()) return false;
  absl::Duration into_slice;
  const int64_t slice = absl::IDivDuration(elapsed, kTurnLength, &into_slice);
  return static_cast<size_t>(slice) % daemons == rank &&
         into_slice < kTurnLength / 2;
}

}  // namespace anvilridge
