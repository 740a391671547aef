#ifndef ANVILRIDGE_DISPATCH_ENGINE_CANDIDATES_H_
#define ANVILRIDGE_DISPATCH_ENGINE_CANDIDATES_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/engine_choice.h"

namespace anvilridge {

/// The engines of a service that may take new work, and what they have.
struct engine_candidates {
  std::vector<decode_candidate> decodes;
  std::vector<prefill_candidate> prefills;
};

/// Returns the engines of `service` without those in `tried`.
/// @param memory part of their KV memory that may be promised.
engine_candidates Candidates(dispatch_state& state, absl::string_view service,
                             const std::vector<std::string>& tried,
                             double memory, absl::Time now);

/// The run that `stream` will be at a decode engine.
decode_run RunOf(const waiting_stream& stream, absl::Time now);

/// Time in which a prefill engine reads `tokens`.
absl::Duration PrefillTime(const dispatch_state& state, double tokens);

/// Returns a decode engine with room for `stream` that can read `tokens` of it
/// without making its other streams late: they all pause meanwhile.
std::optional<fleet_upstream> QuietReader(const dispatch_state& state,
                                          const engine_candidates& engines,
                                          const waiting_stream& stream,
                                          double tokens, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_ENGINE_CANDIDATES_H_
