#ifndef ANVILRIDGE_REQUESTS_CALLER_HANDLER_H_
#define ANVILRIDGE_REQUESTS_CALLER_HANDLER_H_

#include "caller/caller_port.h"
#include "requests/flow_context.h"

namespace anvilridge {

/// Returns the handler of the caller port for one traffic thread: where every
/// request of a caller enters. It authenticates the caller, finds the route
/// and starts a completion, a resume or a service call. `context` must outlive
/// the handler.
inbound_handler MakeCallerHandler(flow_context& context);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_CALLER_HANDLER_H_
