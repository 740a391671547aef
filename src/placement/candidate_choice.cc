#include "placement/candidate_choice.h"

#include <algorithm>
#include <limits>

namespace anvilridge {
namespace {

// A hint older than this says nothing.
constexpr absl::Duration kHintLife = absl::Seconds(2);

// An engine without a fresh hint comes first: else one that is known to be free
// would get all the work of a light load.
double Busyness(const upstream_config& engine, const engine_hints& hints,
                absl::Time now) {
  const auto it = hints.find(engine.name);
  if (it == hints.end() || now - it->second.at > kHintLife) {
    return -std::numeric_limits<double>::infinity();
  }
  const double wait_ms = absl::ToDoubleMilliseconds(it->second.wait);
  return wait_ms - it->second.free_slots;
}

}  // namespace

std::vector<const upstream_config*> Candidates(
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

std::vector<const upstream_config*> AskingOrder(
    std::vector<const upstream_config*> candidates, const engine_hints& hints,
    absl::Time now, std::mt19937_64& random) {
  std::shuffle(candidates.begin(), candidates.end(), random);
  if (candidates.size() < 2) return candidates;
  const double first = Busyness(*candidates[0], hints, now);
  const double second = Busyness(*candidates[1], hints, now);
  if (second < first) std::swap(candidates[0], candidates[1]);
  return candidates;
}

}  // namespace anvilridge
