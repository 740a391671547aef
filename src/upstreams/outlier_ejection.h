#ifndef ANVILRIDGE_UPSTREAMS_OUTLIER_EJECTION_H_
#define ANVILRIDGE_UPSTREAMS_OUTLIER_EJECTION_H_

#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// How a call to an upstream went. `stalled`: it made no progress (no token, no
/// end of an import) within its bound, whatever its connection did.
enum class call_result { ok, failed, stalled };

/// Calls that ended within a part of the window.
struct call_counts {
  int calls = 0;
  int failures = 0;
  /// Those of the failures that were stalls.
  int stalls = 0;
};

/// How calls to one upstream went lately.
struct upstream_health {
  int failures_in_row = 0;
  /// Halves of the window; `current` began at `half_began`.
  call_counts current;
  call_counts previous;
  absl::Time half_began = absl::InfinitePast();
  /// Ejections lately; each doubles the next.
  int ejections = 0;
  absl::Time ejected_until = absl::InfinitePast();
  /// Share of the window's calls that failed when it was last ejected.
  double severity = 0;
  /// Why it was last ejected, for operators.
  std::string why;
};

/// The health of every upstream that this daemon calls.
struct health_table {
  std::map<std::string, upstream_health, std::less<>> upstreams;
};

enum class health_phase {
  /// Gets no new work.
  ejected,
  /// Would be ejected, but too much of its pool is already.
  kept,
  /// Gets a growing share of its picks.
  returning
};

/// What the health of one upstream means for new work.
struct health_standing {
  health_phase phase = health_phase::returning;
  /// Share of its usual picks that it gets: above 0 to 1, 0 when ejected.
  double share = 1;
  /// When the phase ends if nothing else fails.
  absl::Time until;
  std::string why;
};

/// Standing of the upstreams that are not simply well.
using health_view = std::map<std::string, health_standing, std::less<>>;

/// Notes the result of one call. Failures in a row, or too large a share of the
/// window's calls, make an ejection due, for a time that doubles with each;
/// calls still in flight when it began don't lengthen it. `jitter`, from 0 to
/// 1, shortens the time a little, so that daemons and upstreams don't return in
/// step.
void ReportCall(health_table& table, absl::string_view upstream,
                call_result result, const health_settings& settings,
                absl::Time now, double jitter);

/// Upstreams that may be ejected, by pool.
using health_pools =
    std::map<std::string, std::vector<std::string>, std::less<>>;

/// Decides who is ejected at `now`: of each pool at most half (rounded down),
/// the worst first. Upstreams outside of `pools` have no standing unless they
/// are returning.
health_view JudgeHealth(const health_table& table, const health_pools& pools,
                        const health_settings& settings, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_OUTLIER_EJECTION_H_
