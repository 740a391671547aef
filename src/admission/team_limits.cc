#include "admission/team_limits.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

// Seconds of a team's rate that may be used in one burst.
constexpr double kBurstSeconds = 2;

void Refill(team_use& use, double rate, absl::Time now) {
  const double burst = std::max(1.0, rate * kBurstSeconds);
  if (use.refilled == absl::InfinitePast()) {
    use.tokens = burst;
  } else {
    use.tokens += rate * absl::ToDoubleSeconds(now - use.refilled);
  }
  use.tokens = std::min(use.tokens, burst);
  use.refilled = now;
}

}  // namespace

absl::Status EnterTeam(team_limits& limits, const team_config& team,
                       int live_daemons, absl::Time now) {
  const int daemons = std::max(1, live_daemons);
  team_use& use = limits.teams[team.name];
  if (team.concurrency > 0) {
    const int share = std::max(1, team.concurrency / daemons);
    if (use.in_progress >= share) {
      return MakeError(error_kind::concurrency_limited,
                       absl::StrCat("team ", team.name, " has ",
                                    use.in_progress, " requests in progress"));
    }
  }
  if (team.rate > 0) {
    const double rate = team.rate / daemons;
    Refill(use, rate, now);
    if (use.tokens < 1) {
      return MakeError(error_kind::rate_limited,
                       absl::StrCat("team ", team.name, " is over its rate"),
                       run_state::not_run,
                       absl::Seconds((1 - use.tokens) / rate));
    }
    use.tokens -= 1;
  }
  ++use.in_progress;
  return absl::OkStatus();
}

void LeaveTeam(team_limits& limits, absl::string_view team) {
  const auto it = limits.teams.find(team);
  if (it == limits.teams.end() || it->second.in_progress == 0) return;
  --it->second.in_progress;
}

}  // namespace anvilridge
