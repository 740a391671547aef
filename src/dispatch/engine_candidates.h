#ifndef ANVILRIDGE_DISPATCH_ENGINE_CANDIDATES_H_
#define ANVILRIDGE_DISPATCH_ENGINE_CANDIDATES_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/engine_choice.h"

namespace anvilridge {

/// The engines of a service that may receive new work, with their load.
struct engine_candidates {
  std::vector<decode_candidate> decodes;
  std::vector<prefill_candidate> prefills;
  /// Work of other daemons at `prefills` that is not known yet, in tokens.
  choice_spread prefill_spread;
};

/// Returns the engines of `service` that may receive new work, except those in
/// `tried`.
/// @param memory_share share of a decode engine's KV memory that may be
///     reserved.
engine_candidates FindEngineCandidates(dispatch_state& state,
                                       absl::string_view service,
                                       const std::vector<std::string>& tried,
                                       double memory_share, absl::Time now);

/// Returns the run that `stream` is expected to be at a decode engine from
/// `now` on.
decode_run ExpectedRun(const waiting_stream& stream, absl::Time now);

/// Returns the time that a prefill engine is expected to need for `tokens`.
absl::Duration PrefillTime(const dispatch_state& state, double tokens);

/// Chooses a decode engine with capacity for `stream` that can prefill `tokens`
/// of it without making its other streams late, which all pause during the
/// prefill. Returns nothing when there is no such engine.
std::optional<fleet_upstream> ChooseOnTimeLocalPrefillEngine(
    const dispatch_state& state, const engine_candidates& engines,
    const waiting_stream& stream, double tokens, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_ENGINE_CANDIDATES_H_
