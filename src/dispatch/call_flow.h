#ifndef ANVILRIDGE_DISPATCH_CALL_FLOW_H_
#define ANVILRIDGE_DISPATCH_CALL_FLOW_H_

#include "dispatch/dispatch_state.h"
#include "dispatch/routed_request.h"

namespace anvilridge {

/// Starts to serve one request to a service that doesn't stream: sends it to an
/// upstream, with retries as its route allows, and passes the complete response
/// to the caller. The flow keeps itself alive until the request has ended;
/// `state` must outlive it.
void StartCall(dispatch_state& state, routed_request routed);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_CALL_FLOW_H_
