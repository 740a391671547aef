#ifndef ANVILRIDGE_TEAMS_TEAM_USAGE_H_
#define ANVILRIDGE_TEAMS_TEAM_USAGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "fleet/fleet_team.h"

namespace anvilridge {

/// By how much all daemons together may exceed a team's cap: in any `window`
/// they may use (`rate` x `window` + `burst`) x (1 + `excess`) + `slack` units.
struct cap_tolerance {
  absl::Duration window = absl::Seconds(8);
  double excess = 0;
  double slack = 0;

  bool operator==(const cap_tolerance&) const = default;
};

/// Use of one team's cap by one daemon, in units.
struct team_use {
  /// Sent to upstreams since the daemon started, modulo 2^32.
  uint32_t sent = 0;
  /// Admitted and not sent yet.
  uint32_t held = 0;
  /// Sent per second a short time ago, a moving average. The daemons take their
  /// shares of the cap from it while they can't hear each other.
  uint32_t rate = 0;

  bool operator==(const team_use&) const = default;
};

/// Largest number of teams in a `daemon_use`, so that it fits into a datagram.
inline constexpr size_t kMaxTeamsInUse = 200;

/// Use of the caps by one daemon, by `TeamKey`.
using daemon_use = std::map<uint32_t, team_use>;

/// What operators are shown of one team.
struct team_status {
  std::string name;
  /// Units that may be admitted now, as far as this daemon knows.
  double available = 0;
  /// Units that this daemon has sent since it started.
  int64_t sent = 0;
  /// Units that silent daemons are assumed to have used.
  double assumed = 0;
};

struct team_account;

/// Units that one request has been admitted for. Gives back what is held when
/// it is destroyed. Empty for requests without a cap.
class team_charge {
 public:
  team_charge() = default;
  team_charge(std::shared_ptr<team_account> account, uint32_t units);
  ~team_charge();
  team_charge(team_charge&& other) noexcept;
  team_charge& operator=(team_charge&& other) noexcept;

  /// Counts a send to an upstream that may run the request. Each further send
  /// counts again.
  void RecordSend(absl::Time now);
  /// Takes back a send that the upstream certainly did not and will not run.
  void RecordNotRun(absl::Time now);

 private:
  void Release();

  std::shared_ptr<team_account> account_;
  uint32_t units_ = 0;
  bool holds_ = false;
  int sends_ = 0;
};

/// Keeps the caps of the teams over all daemons together. Load pattern: a team
/// sends several times its cap, spread unevenly over dozens of daemons, while a
/// cap may be as small as a few requests a second.
///
/// Each daemon keeps a token bucket of the whole cap for each team, and takes
/// from it what it and all others have sent; the daemons tell each other their
/// sums. A daemon that falls silent may go on sending, so its part of the cap
/// is taken from the bucket meanwhile. Has no I/O.
class team_usage {
 public:
  team_usage();
  ~team_usage();

  /// Replaces the teams. A team that stays keeps its use; `tolerance` is for
  /// all of them.
  /// @param cells number of groups of daemons that share the caps evenly.
  void SetTeams(absl::Span<const fleet_team> teams,
                const cap_tolerance& tolerance, int cells, absl::Time now);

  /// Sets the number of daemons, this one included. Until it is known, this
  /// daemon assumes that there are many others.
  void SetDaemonCount(int daemons, absl::Time now);

  /// Admits a request of `team`.
  /// @param tokens tokens that the request states; 0 if it states none.
  /// @return `rate_limited`, with the time after which to retry, if the team
  ///     has used up its cap.
  absl::StatusOr<team_charge> Admit(const fleet_team& team, double tokens,
                                    absl::Time now);

  /// Records the use that the daemon `peer` reports.
  /// @param incarnation identifies the run of the peer's process.
  /// @param ends whether the peer is about to end, so that it uses nothing more
  ///     once it is silent.
  void SetPeer(absl::string_view peer, uint64_t incarnation,
               const daemon_use& use, bool ends, absl::Time now);

  /// Returns the use by this daemon, for the other daemons: of the teams whose
  /// use has changed lately, and for some time of all teams once a daemon was
  /// heard that was not heard before.
  daemon_use Own(absl::Time now);

  /// Returns the state of all teams with a cap, by name.
  std::vector<team_status> Status(absl::Time now);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_TEAMS_TEAM_USAGE_H_
