#include "placement/baseline_choice.h"

#include <algorithm>
#include <utility>

namespace anvilridge {

std::vector<const upstream_config*> RoundRobinOrder(
    std::vector<const upstream_config*> candidates, uint64_t& turn) {
  if (candidates.empty()) return candidates;
  std::sort(candidates.begin(), candidates.end(),
            [](const auto* a, const auto* b) { return a->name < b->name; });
  const auto first = static_cast<ptrdiff_t>(turn++ % candidates.size());
  std::rotate(candidates.begin(), candidates.begin() + first, candidates.end());
  return candidates;
}

std::vector<const upstream_config*> LeastLoadedOrder(
    std::vector<const upstream_config*> candidates, const engine_loads& loads,
    std::mt19937_64& random) {
  const auto rank = [&loads](const upstream_config* engine) {
    const auto it = loads.find(engine->name);
    if (it == loads.end()) return std::make_pair(0, 0);
    return std::make_pair(it->second.queued_tokens, it->second.slots_used);
  };
  std::shuffle(candidates.begin(), candidates.end(), random);
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
  return candidates;
}

}  // namespace anvilridge
