#include "daemon/request_registry.h"

#include <algorithm>

namespace anvilridge {

void Note(request_registry& registry, const active_request& request) {
  registry.active[request.request_id] = request;
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
  registry.active.erase(it);
  return team;
}

}  // namespace anvilridge
