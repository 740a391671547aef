#ifndef ANVILRIDGE_DISPATCH_RESUMED_ADMISSION_H_
#define ANVILRIDGE_DISPATCH_RESUMED_ADMISSION_H_

#include "dispatch/dispatch_state.h"

namespace anvilridge {

/// Admits a resumed stream, or queues it for a limited time, so that its decode
/// engine can prefill the tokens that the caller already has without making the
/// engine's other streams late. Each daemon uses different engines for resumed
/// streams: when many arrive at once, as after a loss of all daemons,
/// reservations that several daemons make at the same engine would add up to
/// long pauses of its streams.
/// @return false for a stream that is not resumed, which is left unchanged.
bool AdmitOrQueueResumed(dispatch_state& state, waiting_stream& stream,
                         absl::Time now);

/// Admits the queued resumed streams for which there is a decode engine whose
/// other streams stay on time. Streams that have waited until
/// `resumed_wait_until` are handled like streams that are not resumed.
void AdmitResuming(dispatch_state& state, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_RESUMED_ADMISSION_H_
