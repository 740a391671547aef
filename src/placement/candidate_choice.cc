#include "placement/candidate_choice.h"

#include <algorithm>
#include <limits>

namespace anvilridge {
namespace {

// Hints older than this are ignored.
constexpr absl::Duration kHintLifetime = absl::Seconds(2);

// Returns the predicted wait in milliseconds less the number of free slots. An
// engine without a fresh hint gets the lowest score of all: otherwise, under
// light load, a single engine with a hint of free slots would get all the work.
double LoadScore(const upstream_config& engine, const engine_hints& hints,
                 absl::Time now) {
  const auto it = hints.find(engine.name);
  if (it == hints.end() || now - it->second.received > kHintLifetime) {
    return -std::numeric_limits<double>::infinity();
  }
  const double wait_ms = absl::ToDoubleMilliseconds(it->second.wait);
  return wait_ms - it->second.free_slots;
}

}  // namespace

std::vector<const upstream_config*> CandidatesInPool(
    const config_state& config, absl::string_view pool,
    absl::Span<const std::string> avoid) {
  std::vector<const upstream_config*> candidates;
  for (const auto& [name, upstream] : config.upstreams) {
    if (absl::string_view(upstream.pool) != pool || upstream.draining) continue;
    if (std::find(avoid.begin(), avoid.end(), name) != avoid.end()) continue;
    candidates.push_back(&upstream);
  }
  return candidates;
}

std::vector<const upstream_config*> OrderByTwoChoices(
    std::vector<const upstream_config*> candidates, const engine_hints& hints,
    absl::Time now, std::mt19937_64& random) {
  std::shuffle(candidates.begin(), candidates.end(), random);
  if (candidates.size() < 2) return candidates;
  const double first = LoadScore(*candidates[0], hints, now);
  const double second = LoadScore(*candidates[1], hints, now);
  if (second < first) std::swap(candidates[0], candidates[1]);
  return candidates;
}

}  // namespace anvilridge
