#ifndef ANVILRIDGE_DISPATCH_ADMISSION_TURN_H_
#define ANVILRIDGE_DISPATCH_ADMISSION_TURN_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

namespace anvilridge {

/// A daemon and the number of its streams that wait for decode memory.
struct waiting_daemon {
  std::string name;
  int streams = 0;
};

/// Times at which this daemon observed free capacity at one engine.
struct capacity_observation {
  /// First observation with an unchanged number of runs.
  absl::Time since;
  /// Latest observation.
  absl::Time last;
  /// Number of runs at the engine during these observations.
  size_t runs = 0;
};

/// Observations of free capacity by `EngineKey`.
using capacity_observations = std::map<uint32_t, capacity_observation>;

/// Returns the rank of `own` among itself and `others` in the order in which
/// they may use the free capacity of `engine` while it has `runs` runs; 0 is
/// the first. All daemons compute the same order. The probability that a daemon
/// is first is its share of the waiting streams.
size_t TurnRank(uint32_t engine, size_t runs, const waiting_daemon& own,
                absl::Span<const waiting_daemon> others);

/// Whether the daemon with `rank` among `daemons` waiting daemons may use the
/// free capacity that it observes at `engine` at `now`. Each daemon has a time
/// slice of its own, and may use the capacity in the first half of it. The
/// slices begin shortly after the first observation, follow one another and
/// repeat. Records the observation in `observed_capacity`.
/// @param runs number of runs at the engine; a change restarts the slices.
bool MayUseCapacity(capacity_observations& observed_capacity, uint32_t engine,
                    size_t runs, size_t rank, size_t daemons, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_ADMISSION_TURN_H_
