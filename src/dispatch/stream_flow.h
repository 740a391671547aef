#ifndef ANVILRIDGE_DISPATCH_STREAM_FLOW_H_
#define ANVILRIDGE_DISPATCH_STREAM_FLOW_H_

#include <memory>

#include "dispatch/dispatch_state.h"

namespace anvilridge {

/// Takes one streamed request to a prefill and a decode engine, and its events
/// back as they come. Keeps itself alive until the request has ended.
void StartStream(dispatch_state& state, fleet_request request,
                 std::shared_ptr<const fleet_config> config,
                 const fleet_route& route, const fleet_service& service,
                 std::shared_ptr<inbound_exchange> exchange);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_FLOW_H_
