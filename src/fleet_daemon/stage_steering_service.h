#ifndef ANVILRIDGE_FLEET_DAEMON_STAGE_STEERING_SERVICE_H_
#define ANVILRIDGE_FLEET_DAEMON_STAGE_STEERING_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>

#include "dispatch/dispatcher.h"
#include "dispatch/fleet_protocol.h"
#include "dispatch/upstream_statement.h"
#include "fleet/fleet_view.h"
#include "fleet/group_member.h"

namespace anvilridge {

/// Inputs and the listener of the steering, all called on the control thread.
struct steering_sources {
  /// Returns the latest view; null before the first.
  std::function<std::shared_ptr<const fleet_view>()> view;
  /// Returns the right to send orders to engines if this daemon holds it at
  /// `now`.
  std::function<std::optional<order_right>(absl::Time now)> right;
  /// Returns the latest workload of each service; null before the first sample.
  std::function<std::shared_ptr<const service_workloads>()> workload;
  /// Called when an engine was ordered to leave its stage. For up to
  /// `max_delay` the engine may still be registered with its old stage; zero
  /// after a rejected order.
  std::function<void(const fleet_upstream&, absl::Duration max_delay)>
      on_stage_order;
  /// Returns why an engine must get no calls at `now` by its own statement.
  std::function<absence_reason(const fleet_upstream&, absl::Time now)> absence;
  /// Called with what an engine has stated in a response to `call`.
  std::function<void(const fleet_upstream&, const upstream_statement&,
                     absl::string_view call)>
      on_statement;
};

/// Switches engines between the prefill and the decode stage to match the
/// workload, while this daemon holds the right to send orders to engines. Used
/// only on the control thread.
class stage_steering_service {
 public:
  /// @param protocol translates the calls to engines to the wire format.
  stage_steering_service(steering_sources sources, fleet_protocol protocol);
  ~stage_steering_service();

  /// Starts to compare the stages with the workload periodically.
  void Start();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_STAGE_STEERING_SERVICE_H_
