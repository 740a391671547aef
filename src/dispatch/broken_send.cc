#include "dispatch/broken_send.h"

#include <algorithm>
#include <vector>

namespace anvilridge {

bool KeepsPrompt(const broken_send& broken,
                 absl::Span<const std::string> tried) {
  return broken.outcome == send_outcome::unknown &&
         broken.condition == engine_condition::alive &&
         std::count(tried.begin(), tried.end(), broken.engine.id) == 1;
}

bool ShouldReturnToEngine(dispatch_state& state, const broken_send& broken,
                          absl::Span<const std::string> tried, absl::Time now) {
  if (!KeepsPrompt(broken, tried)) return false;
  const std::vector<const fleet_upstream*> usable =
      UsableUpstreams(state, broken.engine.service, {}, now);
  return std::any_of(usable.begin(), usable.end(),
                     [&broken](const fleet_upstream* upstream) {
                       return upstream->id == broken.engine.id &&
                              upstream->started_ms == broken.engine.started_ms;
                     });
}

}  // namespace anvilridge
