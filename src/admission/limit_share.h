#ifndef ANVILRIDGE_ADMISSION_LIMIT_SHARE_H_
#define ANVILRIDGE_ADMISSION_LIMIT_SHARE_H_

#include <map>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "admission/limit_home.h"
#include "config/config_state.h"

namespace anvilridge {

/// What this daemon holds of one team's limits.
struct limit_share {
  int in_progress = 0;
  /// Requests that wait for the home's answer.
  int waiting = 0;
  /// Room for requests in progress, lent by the home until `units_until`.
  int units = 0;
  absl::Time units_until = absl::InfinitePast();
  /// Requests that may start, lent by the home.
  int tokens = 0;
};

/// This daemon's shares by team.
struct limit_shares {
  std::map<std::string, limit_share, std::less<>> teams;
};

/// Whether a request of `team` may start on what is held.
bool MayStart(const limit_share& share, const team_config& team,
              absl::Time now);

/// Counts a request in; `MayStart` must hold.
void StartOne(limit_share& share, const team_config& team);

/// Counts a request out.
void EndOne(limit_shares& shares, absl::string_view team);

/// What to ask the home for, so that all that wait may start. `live_daemons`
/// keeps a burst from taking more than a fair part at once.
borrow_ask AskFor(const limit_share& share, const team_config& team,
                  const std::string& owner, int live_daemons);

/// Takes the home's answer.
void TakeLoan(limit_share& share, const borrow_answer& answer, absl::Time now);

/// The refusal for a request that may not start: `concurrency_limited` or
/// `rate_limited` with the time to come back in.
absl::Status RefusalFor(const limit_share& share, const team_config& team,
                        const borrow_answer& answer, absl::Time now);

/// Returns the teams whose loans must be renewed, or given back as idle, and
/// forgets those that hold nothing.
std::vector<std::string> TeamsToRenew(limit_shares& shares);

}  // namespace anvilridge

#endif  // ANVILRIDGE_ADMISSION_LIMIT_SHARE_H_
