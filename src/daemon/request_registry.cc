#include "daemon/request_registry.h"

#include <algorithm>
#include <utility>

namespace anvilridge {

void Note(request_registry& registry, const active_request& request,
          std::function<void()> cancel) {
  registry.active[request.request_id] = request;
  registry.cancels[request.request_id] = std::move(cancel);
}

void CancelHere(request_registry& registry, absl::string_view request_id) {
  const auto it = registry.cancels.find(request_id);
  if (it == registry.cancels.end()) return;
  const std::function<void()> cancel = std::move(it->second);
  registry.cancels.erase(it);
  cancel();
}

void Change(request_registry& registry, const active_request& request) {
  const auto it = registry.active.find(request.request_id);
  if (it != registry.active.end()) it->second = request;
}

int CountServedBy(const request_registry& registry,
                  absl::string_view engine_request_id) {
  return static_cast<int>(std::count_if(
      registry.active.begin(), registry.active.end(),
      [engine_request_id](const auto& entry) {
        return entry.second.engine_request_id == engine_request_id;
      }));
}

std::string Remove(request_registry& registry, absl::string_view request_id) {
  const auto it = registry.active.find(request_id);
  if (it == registry.active.end()) return "";
  std::string team = it->second.team;
  registry.cancels.erase(it->first);
  registry.active.erase(it);
  return team;
}

}  // namespace anvilridge
