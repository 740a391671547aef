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

/// What an engine's home last said of it; a hint that ages.
struct engine_hint {
  int free_slots = 0;
  absl::Duration wait;
  absl::Time at = absl::InfinitePast();
};

using engine_hints = std::map<std::string, engine_hint, std::less<>>;

/// Returns the upstreams of `pool` that may get new work, less those in
/// `avoid`.
std::vector<const upstream_config*> Candidates(
    const config_state& config, absl::string_view pool,
    absl::Span<const std::string> avoid);

/// Orders `candidates` for asking: two sampled at random and the better by
/// hint first, then the rest at random. Cost of a request does not grow with
/// the pool, since only the first few are asked.
std::vector<const upstream_config*> AskingOrder(
    std::vector<const upstream_config*> candidates, const engine_hints& hints,
    absl::Time now, std::mt19937_64& random);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_CANDIDATE_CHOICE_H_
