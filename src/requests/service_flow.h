#ifndef ANVILRIDGE_REQUESTS_SERVICE_FLOW_H_
#define ANVILRIDGE_REQUESTS_SERVICE_FLOW_H_

#include <memory>
#include <string>

#include "caller/caller_port.h"
#include "config/config_state.h"
#include "requests/caller_identity.h"
#include "requests/flow_context.h"

namespace anvilridge {

/// One call of a plain service that was authenticated and routed.
struct service_request {
  std::string request_id;
  caller_identity caller;
  route_config route;
  inbound_request inbound;
};

/// Passes a call to a plain service. A call that may be repeated is retried
/// elsewhere within the retry budget; one that may not is sent once at most,
/// under a claim when it carries an `Idempotency-Key`.
void StartServiceCall(flow_context& context, service_request request,
                      std::shared_ptr<inbound_exchange> exchange);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_SERVICE_FLOW_H_
