#ifndef ANVILRIDGE_CONFIG_CONFIG_SERVICE_H_
#define ANVILRIDGE_CONFIG_CONFIG_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "config/config_follower.h"
#include "config/config_log.h"
#include "config/config_publisher.h"
#include "config/config_state.h"

namespace anvilridge {

/// What the service needs of the other daemons.
struct config_peers {
  /// The other daemons of the deployment, without this one.
  std::function<std::vector<peer_offset>()> offsets;
  /// Fetches `SnapshotText` of the configuration in force at a peer.
  std::function<void(const std::string& address,
                     std::function<void(absl::StatusOr<std::string>)> done)>
      fetch_snapshot;
};

/// The answer to a command, as far as it has got.
struct publish_result {
  std::string id;
  /// `pending`, `accepted`, `contested`, `rejected` or `failed`.
  std::string status;
  std::string detail;
  /// Log offset; zero while it is not known.
  int64_t offset = 0;
  /// Not ok for `contested`, `rejected` and `failed`.
  absl::Status error;
};

/// Keeps the configuration in force and publishes commands. Lives on the
/// control thread, whose event loop must run.
class config_service {
 public:
  using state_ptr = std::shared_ptr<const config_state>;

  config_service(config_log log, config_peers peers, follow_limits limits = {});
  ~config_service();

  /// Begins to follow the log.
  void Start();

  /// Returns the configuration in force; null until there is one.
  state_ptr InForce() const;

  /// Returns whether the log has not answered lately.
  bool LogOut() const;

  /// Returns for how long the log has not answered; zero while it does.
  absl::Duration LogOutFor() const;

  /// Calls `listener` with each state that comes into force.
  void OnChange(std::function<void(state_ptr)> listener);

  /// Must be called when other daemons' offsets or liveness changed.
  void PeersChanged();

  /// Publishes `command`. `done` is called once: when it is settled, or with
  /// status `pending` after `patience`; it is then followed on all the same.
  void Publish(config_command command, absl::Duration patience,
               std::function<void(publish_result)> done);

  /// Returns how far a command got that was given to this daemon, or what the
  /// history says of it; `not_found` when neither knows it.
  absl::StatusOr<publish_result> StatusOf(absl::string_view id) const;

  /// Returns the commands given to this daemon that are not settled.
  std::vector<config_publisher> Pending() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_CONFIG_SERVICE_H_
