#ifndef ANVILRIDGE_FLEET_FLEET_TEAM_H_
#define ANVILRIDGE_FLEET_FLEET_TEAM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace anvilridge {

/// Cap on what a team may use over all daemons together.
struct usage_cap {
  /// Units per second; 0 for no cap.
  double rate = 0;
  /// Units beyond the rate that may be used at once.
  double burst = 0;
  /// Whether a request counts as its tokens, those of the prompt and the most
  /// that may be generated, and not as 1.
  bool counts_tokens = false;
  /// Units of a request that states no tokens, if `counts_tokens`.
  double plain_tokens = 1;

  bool operator==(const usage_cap&) const = default;
};

/// Callers that share keys, a cap and a priority.
struct fleet_team {
  std::string name;
  /// Identifies the team in messages between daemons.
  uint32_t key = 0;
  /// Takes precedence over the priority of routes; 0 is the most urgent.
  std::optional<int> priority;
  /// Nothing if the configuration's cap can't be used: the cap of the version
  /// before stays in force.
  std::optional<usage_cap> cap = usage_cap();
};

/// SHA-256 of a caller's key.
using key_digest = std::array<uint8_t, 32>;

/// Teams of a configuration and the digests of their keys.
struct team_directory {
  /// Whether the configuration has teams, so that callers need a key.
  bool needs_keys = false;
  std::vector<fleet_team> teams;
  /// Digest of a key and the index of its team in `teams`.
  struct key_entry {
    key_digest digest = {};
    size_t team = 0;
  };
  /// By the first 8 bytes of the digest.
  absl::flat_hash_map<uint64_t, key_entry> keys;
  /// Parts of the configuration that can't be used, without keys, for the log.
  std::vector<std::string> unusable;
};

/// What a request says of its caller.
struct caller_credential {
  enum class state {
    /// The request has no credential.
    missing,
    /// `key` is set.
    present,
    /// The credential has another form than this deployment's, or is too long.
    malformed,
    /// The request has more than one credential.
    repeated,
  };
  state kind = state::missing;
  std::string key;
};

/// Returns the key by which messages between daemons identify the team `name`.
uint32_t TeamKey(absl::string_view name);

/// Returns the digest of a caller's key.
key_digest DigestOf(absl::string_view key);

/// Adds `team` with the digests of its keys. A key that another team has stays
/// with that one; a team without a name or keys, and one whose name is taken,
/// is not added. What isn't added is noted in `unusable`.
void AddTeam(team_directory& directory, fleet_team team,
             absl::Span<const key_digest> keys);

/// Returns the team that has `key`, or null if none has. The comparison takes
/// the same time wherever the digests differ.
const fleet_team* FindTeamOfKey(const team_directory& directory,
                                absl::string_view key);

/// Returns the error for a request without a credential of a team:
/// `missing_credential` or `unknown_credential`.
absl::Status CredentialError(const caller_credential& credential);

/// Returns the units for which a request counts under `cap`.
/// @param tokens tokens that the request states; 0 if it states none.
double UnitsOf(const usage_cap& cap, double tokens);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_FLEET_TEAM_H_
