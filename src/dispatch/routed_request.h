#ifndef ANVILRIDGE_DISPATCH_ROUTED_REQUEST_H_
#define ANVILRIDGE_DISPATCH_ROUTED_REQUEST_H_

#include <memory>

#include "caller/caller_port.h"
#include "dispatch/fleet_request.h"
#include "fleet/fleet_config.h"
#include "teams/team_usage.h"

namespace anvilridge {

/// A request together with its route, the service chosen for it and the
/// exchange on which its caller gets the response.
struct routed_request {
  fleet_request request;
  /// Owns `route` and `service`.
  std::shared_ptr<const fleet_config> config;
  const fleet_route* route = nullptr;
  const fleet_service* service = nullptr;
  std::shared_ptr<inbound_exchange> exchange;
  /// Priority of the request: that of its team, or else of its route. 0 is the
  /// most urgent.
  int priority = 5;
  /// What the request counts for its team.
  team_charge charge = {};
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_ROUTED_REQUEST_H_
