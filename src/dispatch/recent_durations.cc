#include "dispatch/recent_durations.h"

#include <algorithm>

namespace anvilridge {

void RecordDuration(recent_durations& durations, absl::Duration duration,
                    absl::Time now) {
  if (now - durations.span_start >= kRecentSpan) {
    durations.previous =
        RecentCount(durations, now) > 0 ? durations.current : duration_span{};
    durations.current = {};
    durations.span_start = now;
  }
  durations.last = now;
  duration_span& span = durations.current;
  ++span.count;
  span.longest = std::max(span.longest, duration);
  span.shortest = std::min(span.shortest, duration);
}

int RecentCount(const recent_durations& durations, absl::Time now) {
  if (now - durations.span_start >= 2 * kRecentSpan) return 0;
  return durations.current.count + durations.previous.count;
}

std::optional<absl::Duration> LongestRecent(const recent_durations& durations,
                                            absl::Time now) {
  if (RecentCount(durations, now) == 0) return std::nullopt;
  return std::max(durations.current.longest, durations.previous.longest);
}

std::optional<absl::Duration> ShortestRecent(const recent_durations& durations,
                                             absl::Time now) {
  if (RecentCount(durations, now) == 0) return std::nullopt;
  return std::min(durations.current.shortest, durations.previous.shortest);
}

}  // namespace anvilridge
