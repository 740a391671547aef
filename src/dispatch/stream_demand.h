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

/// Updates the estimate from an output that was cut after `events` events, if
/// it was longer than expected: a whole one would have been longer still.
/// @param expected estimate of the length before.
void RecordCutOutput(dispatch_state& state, const fleet_request& request,
                     const fleet_service& service, int events,
                     const length_distribution& expected);

/// Records how long a stream took for its tokens.
/// @param span time from the first of `events` events to the last.
void RecordTokenTime(dispatch_state& state, const fleet_service& service,
                     int events, absl::Duration span);

/// Returns whether enough outputs of `service` are known to tell which length
/// few exceed.
bool KnowsLengths(const dispatch_state& state, absl::string_view service);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_DEMAND_H_
