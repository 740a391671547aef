#ifndef ANVILRIDGE_PLACEMENT_CANDIDATE_CHOICE_H_
#define ANVILRIDGE_PLACEMENT_CANDIDATE_CHOICE_H_

#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "config/config_state.h"

namespace anvilridge {

/// Load of an engine as of the last reply of its home. A hint only, since the
/// load changes after the reply.
struct engine_hint {
  int free_slots = 0;
  /// Predicted wait for new work at the engine, counted from `received`.
  absl::Duration wait;
  absl::Time received = absl::InfinitePast();
};

/// Hints by engine name.
using engine_hints = std::map<std::string, engine_hint, std::less<>>;

/// Returns the upstreams of `pool` that are not draining and whose names are
/// not in `avoid`.
std::vector<const upstream_config*> CandidatesInPool(
    const config_state& config, absl::string_view pool,
    absl::Span<const std::string> avoid);

/// Shuffles `candidates`, then puts the less loaded of the first two, by their
/// hints, at the front (power of two choices). Reservation requests go to the
/// first few only, so that the cost of a request doesn't grow with the pool.
std::vector<const upstream_config*> OrderByTwoChoices(
    std::vector<const upstream_config*> candidates, const engine_hints& hints,
    absl::Time now, std::mt19937_64& random);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_CANDIDATE_CHOICE_H_
