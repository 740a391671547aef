#ifndef ANVILRIDGE_PLANNING_RECORDED_DAY_H_
#define ANVILRIDGE_PLANNING_RECORDED_DAY_H_

#include <istream>
#include <vector>

#include "planning/offline_bound.h"

namespace anvilridge {

/// What the logs of all daemons tell of the streams of one day.
struct recorded_day {
  std::vector<stream_arrival> arrivals;
  /// Of the arrivals, those whose first event came within the target.
  int begun_on_time = 0;
  /// Most model engines that were registered at the same time.
  int engines = 0;
};

/// Reads JSON log lines; what stands before the first brace of a line, and
/// lines without one, are passed over. A request that comes again under its id
/// counts once, from its first arrival on; of one that never ended whole the
/// expected output is taken.
/// @param tokens_per_event tokens that one event carries.
recorded_day ReadRecordedDay(std::istream& log, double tokens_per_event,
                             absl::Duration latency_target);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLANNING_RECORDED_DAY_H_
