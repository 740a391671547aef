#ifndef ANVILRIDGE_PLANNING_RECORDED_DAY_H_
#define ANVILRIDGE_PLANNING_RECORDED_DAY_H_

#include <istream>
#include <vector>

#include "planning/offline_bound.h"

namespace anvilridge {

/// Streams and engines of one day, collected from the logs of all daemons.
struct recorded_day {
  std::vector<stream_arrival> arrivals;
  /// Number of arrivals whose first event came within the latency target.
  int begun_on_time = 0;
  /// Largest number of model engines registered at the same time.
  int engines = 0;
};

/// Reads the JSON lines of `log`. Text before the first brace of a line is
/// skipped, except for a leading timestamp in seconds since the Unix epoch;
/// lines without a brace are ignored. A request that is repeated under the same
/// id counts once, from its first arrival. A request without a complete
/// response gets its expected output length or, if none was logged, the mean
/// length of the complete responses.
/// @param tokens_per_event number of output tokens that one event carries.
/// @param target longest time from arrival to first event that counts as on
/// time.
recorded_day ReadRecordedDay(std::istream& log, double tokens_per_event,
                             absl::Duration target);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLANNING_RECORDED_DAY_H_
