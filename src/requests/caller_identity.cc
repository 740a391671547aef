#include "requests/caller_identity.h"

#include "absl/strings/match.h"
#include "absl/strings/strip.h"
#include "base/error_kind.h"
#include "base/ids.h"
#include "operators/authenticate.h"

namespace anvilridge {

absl::StatusOr<caller_identity> Authenticate(const config_state& config,
                                             const http_headers& headers) {
  absl::string_view value = HeaderValue(headers, "authorization");
  if (!absl::StartsWithIgnoreCase(value, "bearer ")) {
    return MakeError(error_kind::missing_credential,
                     "send Authorization: Bearer KEY");
  }
  value.remove_prefix(7);
  const std::string hash = KeyHash(value);
  caller_identity identity;
  // Every key is compared, so that the time tells nothing of which matched.
  for (const auto& [name, key] : config.keys) {
    const bool same = ConstantTimeEqual(hash, key.sha256_hex);
    if (!same || key.team.empty()) continue;
    identity.team = key.team;
    identity.key_name = name;
  }
  const auto team = config.teams.find(identity.team);
  if (team == config.teams.end()) {
    return MakeError(error_kind::unknown_credential,
                     "the key belongs to no team");
  }
  identity.priority = team->second.priority;
  return identity;
}

}  // namespace anvilridge
