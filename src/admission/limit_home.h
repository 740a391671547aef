#ifndef ANVILRIDGE_ADMISSION_LIMIT_HOME_H_
#define ANVILRIDGE_ADMISSION_LIMIT_HOME_H_

#include <map>
#include <string>

#include "absl/time/time.h"
#include "config/config_state.h"

namespace anvilridge {

/// How long concurrency lent to a daemon lasts without being renewed.
inline constexpr absl::Duration kUnitLease = absl::Seconds(6);

/// Requests in progress that one daemon may have for a team.
struct unit_lease {
  int units = 0;
  absl::Time expires;
};

/// What the home of a team has lent; soft state, rebuilt as daemons renew.
struct limit_ledger {
  /// Requests that may start now, of the team's rate.
  double tokens = 0;
  absl::Time refilled = absl::InfinitePast();
  /// By the borrower's `daemon:incarnation`.
  std::map<std::string, unit_lease, std::less<>> lent;
  /// Since when this home lends; others may still hold what an earlier home
  /// lent until a lease has passed.
  absl::Time opened = absl::InfinitePast();
};

/// What a daemon asks of a team's home.
struct borrow_ask {
  std::string owner;
  /// Requests in progress that the daemon wants to have room for in all; less
  /// than it holds gives the rest back.
  int units = 0;
  /// Requests that it wants to start.
  int tokens = 0;
};

struct borrow_answer {
  int units = 0;
  int tokens = 0;
  /// When a token may be had, if none was lent.
  absl::Duration retry_in;
};

/// Lends from the limits of `team` at `now`, so that all daemons together never
/// hold more than the limits. `live_daemons` bounds what a new home lends.
borrow_answer Lend(limit_ledger& ledger, const team_config& team,
                   const borrow_ask& ask, int live_daemons, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_ADMISSION_LIMIT_HOME_H_
