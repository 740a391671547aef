#ifndef ANVILRIDGE_DISPATCH_STREAM_FLOW_H_
#define ANVILRIDGE_DISPATCH_STREAM_FLOW_H_

#include "dispatch/dispatch_state.h"
#include "dispatch/routed_request.h"

namespace anvilridge {

/// Takes one streamed request to a prefill and a decode engine, and its events
/// back as they come. Keeps itself alive until the request has ended.
void StartStream(dispatch_state& state, routed_request routed);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_FLOW_H_
