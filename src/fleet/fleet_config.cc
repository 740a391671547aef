#include "fleet/fleet_config.h"

#include <algorithm>

#include "absl/strings/match.h"

namespace anvilridge {
namespace {

absl::string_view WithoutPort(absl::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

const fleet_route* FindRoute(const fleet_config& config, absl::string_view host,
                             absl::string_view path) {
  const absl::string_view name = WithoutPort(host);
  const fleet_route* best = nullptr;
  for (const fleet_route& route : config.routes) {
    if (!absl::StartsWith(path, route.path_prefix)) continue;
    if (!absl::EqualsIgnoreCase(name, route.host)) continue;
    if (best == nullptr ||
        route.path_prefix.size() > best->path_prefix.size()) {
      best = &route;
    }
  }
  return best;
}

absl::StatusOr<const fleet_team*> IdentifyTeam(
    const fleet_config& config, const fleet_route& route,
    const caller_credential& credential) {
  if (!config.teams.needs_keys) return nullptr;
  const fleet_team* team = nullptr;
  if (credential.kind == caller_credential::state::present) {
    team = FindTeamOfKey(config.teams, credential.key);
  }
  if (team == nullptr && !route.is_public) return CredentialError(credential);
  return team;
}

const fleet_service* PickService(const fleet_config& config,
                                 const fleet_route& route, double random) {
  int total = 0;
  for (const weighted_service& entry : route.services) {
    total += std::max(0, entry.weight);
  }
  if (total == 0) return nullptr;
  double remaining = random * total;
  for (const weighted_service& entry : route.services) {
    remaining -= std::max(0, entry.weight);
    if (remaining >= 0) continue;
    const auto found = config.services.find(entry.service);
    return found == config.services.end() ? nullptr : &found->second;
  }
  return nullptr;
}

}  // namespace anvilridge
