#ifndef ANVILRIDGE_REQUESTS_COMPLETION_END_H_
#define ANVILRIDGE_REQUESTS_COMPLETION_END_H_

#include <string>

#include "absl/status/status.h"
#include "requests/completion_state.h"

namespace anvilridge {

/// Cancels the request at `engine`, which may hold it for `owner`.
void CancelAs(completion_state& flow, const std::string& owner,
              const chosen_engine& engine);

/// Cancels what the attempt may hold at its engines.
void CancelAtEngines(completion_state& flow);

/// Stops the engine call or stream in progress; the engine goes on.
void StopCall(completion_state& flow);

/// Reports how the attempt went and gives its place back.
void FinishPlacement(completion_state& flow);

/// Ends the answer with `error`. Once an engine was asked, the caller is not
/// told that nothing ran.
void FailCompletion(completion_state& flow, const absl::Status& error);

/// As FailCompletion, for a request that now belongs to a later reader and is
/// not this daemon's to cancel.
void FailFenced(completion_state& flow, const absl::Status& error);

/// Frees everything that the request holds; `why` is its result.
void EndCompletion(completion_state& flow, const absl::Status& why);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_COMPLETION_END_H_
