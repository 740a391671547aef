#ifndef ANVILRIDGE_ADMISSION_TEAM_ADMISSION_H_
#define ANVILRIDGE_ADMISSION_TEAM_ADMISSION_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "config/config_state.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

namespace anvilridge {

/// Functions of the daemon that team admission depends on.
struct team_admission_environment {
  /// Returns the configuration in force, or null if there is none yet.
  std::function<std::shared_ptr<const config_state>()> config;
  /// Returns the peer address of the team's home; empty if this daemon
  /// is the home.
  std::function<std::string(absl::string_view team)> home_address;
  /// Returns the number of live daemons.
  std::function<int()> live_daemons;
  /// Returns the `daemon:incarnation` of this daemon.
  std::function<std::string()> owner;
  std::function<absl::Time()> now;
};

/// Enforces the limits of the teams over all daemons together. Each team has a
/// home that lends tokens of its rate and permits of its concurrency to the
/// daemons that need them. While the home can't be reached, a daemon applies an
/// even part of the limits instead. Must be used on the control thread.
class team_admission {
 public:
  /// `peers` must outlive this object.
  team_admission(peer_client& peers, team_admission_environment environment);
  ~team_admission();

  /// Registers the handler by which this daemon lends permits and tokens of the
  /// teams whose home it is.
  void RegisterPeerHandlers(peer_server& server);

  /// Admits one request of `team` if the limits allow it. Calls `done` once,
  /// immediately or after one call to the home, with ok, `rate_limited` or
  /// `concurrency_limited`. After ok, call `Leave` when the request ends.
  void Enter(const team_config& team, std::function<void(absl::Status)> done);

  /// Ends one admitted request of `team`.
  void Leave(absl::string_view team);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_ADMISSION_TEAM_ADMISSION_H_
