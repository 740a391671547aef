#ifndef ANVILRIDGE_REQUESTS_COMPLETION_STREAM_H_
#define ANVILRIDGE_REQUESTS_COMPLETION_STREAM_H_

#include "requests/completion_state.h"

namespace anvilridge {

/// Reads the decode stream of a request that its engine holds, from the token
/// after those that the caller has, into the caller's answer.
void ReadDecodeStream(const completion_ptr& flow);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_COMPLETION_STREAM_H_
