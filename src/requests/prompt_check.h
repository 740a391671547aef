#ifndef ANVILRIDGE_REQUESTS_PROMPT_CHECK_H_
#define ANVILRIDGE_REQUESTS_PROMPT_CHECK_H_

#include <functional>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "placement/placement_request.h"
#include "quarantine/prompt_part.h"
#include "requests/completion_state.h"

namespace anvilridge {

/// Returns the parts of `prompt` by which crashes of engines are compared: its
/// prefixes, in the units of the engines' prefix caches, and the whole prompt.
prompt_parts PartsOfPrompt(absl::string_view prompt);

/// Returns whether the request may be sent to engines. Ends it otherwise,
/// because engines crash on a part of its prompt.
bool MayUseEngines(completion_state& flow);

/// Calls `next`, unless the request has ended by then, once it is known whether
/// `engine`, which ended an attempt with `why` before its first token, has
/// crashed. Reports a crash.
void CheckForCrash(const completion_ptr& flow, const chosen_engine& engine,
                   const absl::Status& why, std::function<void()> next);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_PROMPT_CHECK_H_
