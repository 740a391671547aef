#include "upstreams/return_share.h"

#include <algorithm>
#include <utility>

namespace anvilridge {
namespace {

double ShareOf(const health_view& view, const upstream_config& upstream) {
  const auto it = view.find(upstream.name);
  return it == view.end() ? 1 : it->second.share;
}

}  // namespace

std::vector<const upstream_config*> ThinReturning(
    std::vector<const upstream_config*> candidates,
    const std::shared_ptr<const health_view>& view, std::mt19937_64& random) {
  if (!view || view->empty() || candidates.empty()) return candidates;
  std::uniform_real_distribution<double> sample(0, 1);
  std::vector<const upstream_config*> picked;
  for (const upstream_config* one : candidates) {
    if (sample(random) < ShareOf(*view, *one)) picked.push_back(one);
  }
  if (!picked.empty()) return picked;
  const auto best = std::max_element(
      candidates.begin(), candidates.end(), [&](const auto* a, const auto* b) {
        return ShareOf(*view, *a) < ShareOf(*view, *b);
      });
  return {*best};
}

}  // namespace anvilridge
