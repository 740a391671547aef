#ifndef ANVILRIDGE_DISPATCH_RECENT_DURATIONS_H_
#define ANVILRIDGE_DISPATCH_RECENT_DURATIONS_H_

#include <optional>

#include "absl/time/time.h"

namespace anvilridge {

/// Number and bounds of the durations that were recorded within a span of time.
struct duration_span {
  int count = 0;
  absl::Duration longest = absl::ZeroDuration();
  absl::Duration shortest = absl::InfiniteDuration();
};

/// Bounds of the durations that were recorded lately.
struct recent_durations {
  /// Start of the current span of `kRecentSpan`.
  absl::Time span_start = absl::InfinitePast();
  duration_span current;
  /// The span before the current one.
  duration_span previous;
  /// When a duration was recorded last.
  absl::Time last = absl::InfinitePast();
};

/// A duration counts for one to two of these spans.
inline constexpr absl::Duration kRecentSpan = absl::Seconds(10);

/// Adds `duration`, which ended at `now`.
void RecordDuration(recent_durations& durations, absl::Duration duration,
                    absl::Time now);

/// Returns the number of durations of the last spans.
int RecentCount(const recent_durations& durations, absl::Time now);

/// Returns the longest duration of the last spans; nothing if there is none.
std::optional<absl::Duration> LongestRecent(const recent_durations& durations,
                                            absl::Time now);

/// Returns the shortest one; nothing if there is none.
std::optional<absl::Duration> ShortestRecent(const recent_durations& durations,
                                             absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_RECENT_DURATIONS_H_
