#ifndef ANVILRIDGE_REQUESTS_COMPLETION_ATTEMPT_H_
#define ANVILRIDGE_REQUESTS_COMPLETION_ATTEMPT_H_

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "requests/completion_state.h"

namespace anvilridge {

/// Begins an attempt at a completion: a place, the prefill, the transfer, and
/// then the decode stream. Waits while this daemon has no valid lease.
void BeginAttempt(const completion_ptr& flow);

/// Frees what the attempt holds and starts over at other engines; after the
/// first token, from the text that the caller has.
/// @param why what ended the attempt.
/// @param engine is not asked again; "" for none to avoid.
void RetryElsewhere(const completion_ptr& flow, const absl::Status& why,
                    absl::string_view engine);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_COMPLETION_ATTEMPT_H_
