#ifndef ANVILRIDGE_DISPATCH_CALL_FLOW_H_
#define ANVILRIDGE_DISPATCH_CALL_FLOW_H_

#include <memory>

#include "dispatch/dispatch_state.h"

namespace anvilridge {

/// Takes one request to a plain service and its whole answer back. Keeps itself
/// alive until the request has ended.
void StartCall(dispatch_state& state, fleet_request request,
               std::shared_ptr<const fleet_config> config,
               const fleet_route& route, const fleet_service& service,
               std::shared_ptr<inbound_exchange> exchange);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_CALL_FLOW_H_
