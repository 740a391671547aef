#ifndef ANVILRIDGE_FLEET_DAEMON_FLEET_CONTROL_H_
#define ANVILRIDGE_FLEET_DAEMON_FLEET_CONTROL_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "fleet/fleet_view.h"
#include "fleet/group_member.h"
#include "fleet/topic_follower.h"

namespace anvilridge {

/// Where the configuration and the upstreams are found, and how their records
/// read.
struct fleet_sources {
  topic_calls config_topic;
  topic_calls upstream_topic;
  group_calls group;
  /// Key of the configuration's record; other keys are passed over.
  std::string config_key;
  std::function<absl::StatusOr<fleet_config>(absl::string_view value)>
      read_config;
  std::function<absl::StatusOr<fleet_upstream>(absl::string_view id,
                                               absl::string_view value)>
      read_upstream;
};

/// Follows configuration and upstreams in the store, and publishes what is
/// known as one value. Lives on the control thread.
class fleet_control {
 public:
  using publisher = std::function<void(std::shared_ptr<const fleet_view>)>;

  fleet_control(fleet_sources sources, publisher publish);
  ~fleet_control();

  void Start();

  /// The view published last; null before the first.
  std::shared_ptr<const fleet_view> View() const;

  /// Ok when requests can be routed, or why not.
  absl::Status Ready() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_FLEET_CONTROL_H_
