#ifndef ANVILRIDGE_DISPATCH_CALL_FLOW_H_
#define ANVILRIDGE_DISPATCH_CALL_FLOW_H_

#include "dispatch/dispatch_state.h"
#include "dispatch/routed_request.h"

namespace anvilridge {

/// Takes one request to a plain service and its whole answer back. Keeps itself
/// alive until the request has ended.
void StartCall(dispatch_state& state, routed_request routed);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_CALL_FLOW_H_
