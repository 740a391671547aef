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

/// Permits and tokens of one team that its home has lent to this daemon.
struct limit_share {
  /// Requests of the team in progress at this daemon.
  int in_progress = 0;
  /// Requests that wait for a reply from the home.
  int waiting = 0;
  /// Permits for requests in progress, valid until `permits_expire`.
  int permits = 0;
  absl::Time permits_expire = absl::InfinitePast();
  /// Tokens left; each allows one request to start.
  int tokens = 0;
};

/// Limit shares of this daemon, by team name.
struct limit_shares {
  std::map<std::string, limit_share, std::less<>> teams;
};

/// Returns whether `share` has a permit and a token for one more request of
/// `team`. A limit that the team doesn't have is always met.
bool CanStart(const limit_share& share, const team_config& team,
              absl::Time now);

/// Counts a request as started. `CanStart` must have returned true.
void RecordStart(limit_share& share, const team_config& team);

/// Counts a request of `team` as ended. Does nothing if none is in progress.
void RecordEnd(limit_shares& shares, absl::string_view team);

/// Returns the request to the home for as many permits as requests wait or are
/// in progress, and for as many tokens as requests wait or, if that is more,
/// half a second of this daemon's even part of the rate. Dividing the rate by
/// `live_daemons` keeps a burst at one daemon from taking more than its fair
/// part at once.
/// @param owner `daemon:incarnation` of this daemon.
borrow_request MakeBorrowRequest(const limit_share& share,
                                 const team_config& team,
                                 const std::string& owner, int live_daemons);

/// Applies the reply of the home: replaces the permits of `share` and adds the
/// lent tokens.
void ApplyBorrowReply(limit_share& share, const borrow_reply& reply,
                      absl::Time now);

/// Returns the error for a request that may not start: `concurrency_limited`,
/// or `rate_limited` with the time after which to retry.
absl::Status MakeLimitError(const limit_share& share, const team_config& team,
                            const borrow_reply& reply, absl::Time now);

/// Removes idle teams without permits, and returns the teams with permits to
/// renew or, if the team is idle, to return to the home.
std::vector<std::string> CollectTeamsToRenew(limit_shares& shares);

}  // namespace anvilridge

#endif  // ANVILRIDGE_ADMISSION_LIMIT_SHARE_H_
