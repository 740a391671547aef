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

/// What admission needs of the rest of the daemon.
struct team_admission_environment {
  std::function<std::shared_ptr<const config_state>()> config;
  /// Peer address of the team's home; empty when this daemon is the home.
  std::function<std::string(absl::string_view team)> home_address;
  std::function<int()> live_daemons;
  std::function<std::string()> owner;
  std::function<absl::Time()> now;
};

/// Keeps the teams' limits over all daemons together: each team has a home
/// that lends its rate and its concurrency to the daemons that need them. When
/// the home can't be reached, an even part of the limits holds instead. Lives
/// on the control thread.
class team_admission {
 public:
  /// `peers` must outlive this object.
  team_admission(peer_client& peers, team_admission_environment environment);
  ~team_admission();

  /// Serves the loans of teams whose home this daemon is.
  void RegisterPeerHandlers(peer_server& server);

  /// Counts one request of `team` in. `done` is called once, at once or after
  /// one call to the home, with ok, `rate_limited` or `concurrency_limited`.
  void Enter(const team_config& team, std::function<void(absl::Status)> done);

  /// Counts one request of `team` out.
  void Leave(absl::string_view team);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_ADMISSION_TEAM_ADMISSION_H_
