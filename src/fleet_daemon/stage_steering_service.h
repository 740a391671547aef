#ifndef ANVILRIDGE_FLEET_DAEMON_STAGE_STEERING_SERVICE_H_
#define ANVILRIDGE_FLEET_DAEMON_STAGE_STEERING_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>

#include "dispatch/dispatcher.h"
#include "dispatch/fleet_speaker.h"
#include "fleet/fleet_view.h"
#include "fleet/group_member.h"

namespace anvilridge {

/// What the steering looks at; called on the control thread.
struct steering_sources {
  std::function<std::shared_ptr<const fleet_view>()> view;
  /// The right to order, if this daemon has it now.
  std::function<std::optional<order_right>(absl::Time now)> right;
  std::function<std::shared_ptr<const workload_sample>()> workload;
  /// Told of an engine that was ordered out of its stage, and for how long it
  /// may still be registered with it.
  std::function<void(const fleet_upstream&, absl::Duration longest)> on_order;
};

/// Turns engines between prefill and decode as the workload asks for, while
/// this daemon holds the right to. Lives on the control thread.
class stage_steering_service {
 public:
  stage_steering_service(steering_sources sources, fleet_speaker speaker);
  ~stage_steering_service();

  void Start();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_STAGE_STEERING_SERVICE_H_
