#ifndef ANVILRIDGE_DISPATCH_STREAM_SIZE_H_
#define ANVILRIDGE_DISPATCH_STREAM_SIZE_H_

#include "dispatch/dispatch_state.h"
#include "dispatch/length_estimate.h"
#include "dispatch/routed_request.h"

namespace anvilridge {

/// Returns the number of tokens in `events` events of a stream.
double TokensOf(const routed_request& routed, int events);

/// Returns how many more tokens a stream is expected to have after `generated`
/// ones.
/// @param length estimated distribution of its length.
double ExpectedTokens(const routed_request& routed,
                      const length_distribution& length, double generated);

/// Returns the entry of a stream for the queue of those that wait for engines,
/// without its callback.
/// @param events events that the caller has received, also before it resumed
///     the stream.
waiting_stream MakeWaitingStream(const dispatch_state& state,
                                 const routed_request& routed,
                                 const length_distribution& length, int events);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_SIZE_H_
