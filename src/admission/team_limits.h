#ifndef ANVILRIDGE_ADMISSION_TEAM_LIMITS_H_
#define ANVILRIDGE_ADMISSION_TEAM_LIMITS_H_

#include <map>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "config/config_state.h"

namespace anvilridge {

/// One team's use of its limits on this daemon.
struct team_use {
  int in_progress = 0;
  /// Requests that may start at once; grows by the team's rate.
  double tokens = 0;
  absl::Time refilled = absl::InfinitePast();
};

/// This daemon's share of every team's limits.
struct team_limits {
  std::map<std::string, team_use, std::less<>> teams;
};

/// Counts one request of `team` in. A limit holds over all daemons because
/// each of the `live_daemons` grants its share only. Fails with `rate_limited`
/// or `concurrency_limited` and the time to come back in.
absl::Status EnterTeam(team_limits& limits, const team_config& team,
                       int live_daemons, absl::Time now);

/// Counts one request of `team` out.
void LeaveTeam(team_limits& limits, absl::string_view team);

}  // namespace anvilridge

#endif  // ANVILRIDGE_ADMISSION_TEAM_LIMITS_H_
