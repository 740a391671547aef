#ifndef ANVILRIDGE_DISPATCH_STREAM_FLOW_H_
#define ANVILRIDGE_DISPATCH_STREAM_FLOW_H_

#include "dispatch/dispatch_state.h"
#include "dispatch/routed_request.h"

namespace anvilridge {

/// Starts to serve one streamed request: reserves engines, sends the request to
/// a prefill and a decode engine, and passes the events to the caller as they
/// arrive. The flow keeps itself alive until the request has ended; `state`
/// must outlive it.
void StartStream(dispatch_state& state, routed_request routed);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_FLOW_H_
