#include "dispatch/caller_age.h"

#include <algorithm>

namespace anvilridge {
namespace {

// How long a patience is remembered, once to twice.
constexpr absl::Duration kPeriod = absl::Seconds(20);
// Differences up to this are the way of the request, not an earlier attempt.
constexpr absl::Duration kSlack = absl::Milliseconds(50);

}  // namespace

absl::Duration LearnAge(usual_patience& patience, absl::Duration time_left,
                        absl::Time now) {
  if (time_left == absl::InfiniteDuration()) return absl::ZeroDuration();
  if (now >= patience.period_began + kPeriod) {
    const bool adjacent = now < patience.period_began + 2 * kPeriod;
    patience.previous = adjacent ? patience.current : absl::ZeroDuration();
    patience.current = absl::ZeroDuration();
    patience.period_began = now;
  }
  patience.current = std::max(patience.current, time_left);
  const absl::Duration age =
      std::max(patience.current, patience.previous) - time_left;
  return age > kSlack ? age : absl::ZeroDuration();
}

}  // namespace anvilridge
