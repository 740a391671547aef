#include "daemon/request_registry.h"

namespace anvilridge {

void Note(request_registry& registry, const active_request& request) {
  registry.active[request.request_id] = request;
}

void Change(request_registry& registry, const active_request& request) {
  const auto it = registry.active.find(request.request_id);
  if (it != registry.active.end()) it->second = request;
}

std::string Remove(request_registry& registry, absl::string_view request_id) {
  const auto it = registry.active.find(request_id);
  if (it == registry.active.end()) return "";
  std::string team = it->second.team;
  registry.active.erase(it);
  return team;
}

}  // namespace anvilridge
