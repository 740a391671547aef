#ifndef ANVILRIDGE_DISPATCH_RESUMED_ADMISSION_H_
#define ANVILRIDGE_DISPATCH_RESUMED_ADMISSION_H_

#include "dispatch/dispatch_state.h"

namespace anvilridge {

/// Admits a stream that goes on, or lets it wait for a while, so that the
/// decode engine that reads again what its caller has makes no others late.
/// When many come at once, as after a loss of all daemons, each daemon has
/// engines of its own for them: promises that cross would add up to long pauses
/// everywhere.
/// @return false for a stream that doesn't go on, which is left as it was.
bool AwaitQuietEngine(dispatch_state& state, waiting_stream& stream,
                      absl::Time now);

/// Admits streams for which there is such an engine by now; those that have
/// waited for long enough go on like all others.
void AdmitResuming(dispatch_state& state, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_RESUMED_ADMISSION_H_
