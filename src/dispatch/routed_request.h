#ifndef ANVILRIDGE_DISPATCH_ROUTED_REQUEST_H_
#define ANVILRIDGE_DISPATCH_ROUTED_REQUEST_H_

#include <memory>

#include "caller/caller_port.h"
#include "dispatch/fleet_request.h"
#include "fleet/fleet_config.h"

namespace anvilridge {

/// A request, where its route leads, and who waits for its answer.
struct routed_request {
  fleet_request request;
  /// Holds the route and the service.
  std::shared_ptr<const fleet_config> config;
  const fleet_route* route = nullptr;
  const fleet_service* service = nullptr;
  std::shared_ptr<inbound_exchange> exchange;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_ROUTED_REQUEST_H_
