#ifndef ANVILRIDGE_ADMISSION_LIMIT_HOME_H_
#define ANVILRIDGE_ADMISSION_LIMIT_HOME_H_

#include <map>
#include <string>

#include "absl/time/time.h"
#include "config/config_state.h"

namespace anvilridge {

/// Time after which permits lent to a daemon expire unless they are renewed.
inline constexpr absl::Duration kPermitLease = absl::Seconds(6);

/// Concurrency of a team that its home has lent to one daemon.
struct permit_lease {
  /// Each permit allows one request in progress.
  int permits = 0;
  absl::Time expires;
};

/// Permits and tokens that the home of a team can lend and has lent. Kept in
/// memory only: a new home rebuilds it as the daemons renew their leases.
struct limit_ledger {
  /// Token bucket of the team's rate; each token allows one request to start.
  double tokens = 0;
  absl::Time last_refill = absl::InfinitePast();
  /// Unexpired leases, and expired ones not yet removed, by the borrower's
  /// `daemon:incarnation`.
  std::map<std::string, permit_lease, std::less<>> leases;
  /// When this home began to lend. For one `kPermitLease` from then on, daemons
  /// may still hold permits from the previous home.
  absl::Time lending_since = absl::InfinitePast();
};

/// Request of a daemon to the home of a team for permits and tokens.
struct borrow_request {
  /// `daemon:incarnation` of the borrower.
  std::string owner;
  /// Permits that the daemon needs in all. A number below the permits that it
  /// holds returns the rest.
  int permits = 0;
  /// Tokens that the daemon needs in addition to those it holds.
  int tokens = 0;
};

/// Reply of the home to a `borrow_request`.
struct borrow_reply {
  /// Permits that the daemon holds from now on; replaces the previous lease.
  int permits = 0;
  /// Tokens lent in addition to those that the daemon holds.
  int tokens = 0;
  /// Time until the next token is available, if none was lent.
  absl::Duration retry_after;
};

/// Lends permits and tokens to the daemon that sent `request`, so that all
/// daemons together never exceed the limits of `team`. During its first
/// `kPermitLease` a home lends each daemon at most its even part, of
/// `live_daemons` parts, but at least one permit.
/// @param now current time, which refills the tokens and expires the leases.
borrow_reply Lend(limit_ledger& ledger, const team_config& team,
                  const borrow_request& request, int live_daemons,
                  absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_ADMISSION_LIMIT_HOME_H_
