#ifndef ANVILRIDGE_DISPATCH_STREAM_DEMAND_H_
#define ANVILRIDGE_DISPATCH_STREAM_DEMAND_H_

#include "dispatch/dispatch_state.h"

namespace anvilridge {

/// Adds a streamed request to the workload of its service. Requests that can't
/// be served count as well.
/// @param output tokens that are expected to be generated.
void RecordDemand(dispatch_state& state, const fleet_request& request,
                  const fleet_service& service, double output);

/// Updates the service's estimate of output lengths from a complete output of
/// `events` events. The length of an output that the caller resumed is unknown.
void RecordOutputLength(dispatch_state& state, const fleet_request& request,
                        const fleet_service& service, int events);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_DEMAND_H_
