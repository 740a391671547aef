#ifndef ANVILRIDGE_DISPATCH_BROKEN_SEND_H_
#define ANVILRIDGE_DISPATCH_BROKEN_SEND_H_

#include <string>

#include "absl/types/span.h"
#include "dispatch/crash_check.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/send_outcome.h"

namespace anvilridge {

/// A send to an engine that ended without a valid response.
struct broken_send {
  fleet_upstream engine;
  send_outcome outcome = send_outcome::unknown;
  /// What a check has shown of the engine since; `unknown` without a check.
  engine_condition condition = engine_condition::unknown;
};

/// Returns whether the engine of `broken` has probably kept the prompt: only
/// the connection was lost. Pattern: connections are reset, or responses lost,
/// while the engines are sound. Any other engine would prefill the prompt anew.
/// @param tried ids of the engines of all sends of the request, with
///     repetitions. An engine whose connections break again is not preferred.
bool KeepsPrompt(const broken_send& broken,
                 absl::Span<const std::string> tried);

/// Returns whether the request of `broken` is sent to the same engine again: it
/// keeps the prompt, and may receive new work at `now`.
bool ShouldReturnToEngine(dispatch_state& state, const broken_send& broken,
                          absl::Span<const std::string> tried, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_BROKEN_SEND_H_
