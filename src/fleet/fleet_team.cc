#include "fleet/fleet_team.h"

#include <xxhash.h>

#include <QCryptographicHash>
#include <algorithm>
#include <cstring>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

uint64_t IndexOf(const key_digest& digest) {
  uint64_t index = 0;
  std::memcpy(&index, digest.data(), sizeof(index));
  return index;
}

bool ConstantTimeEqual(const key_digest& one, const key_digest& other) {
  unsigned difference = 0;
  for (size_t i = 0; i < one.size(); ++i) {
    difference |= static_cast<unsigned>(one[i] ^ other[i]);
  }
  return difference == 0;
}

}  // namespace

uint32_t TeamKey(absl::string_view name) {
  return XXH32(name.data(), name.size(), 0);
}

key_digest DigestOf(absl::string_view key) {
  // Kept per thread, since making one allocates memory.
  thread_local QCryptographicHash hash(QCryptographicHash::Sha256);
  hash.reset();
  hash.addData(QByteArrayView(key.data(), static_cast<qsizetype>(key.size())));
  const QByteArrayView result = hash.resultView();
  key_digest digest = {};
  std::copy_n(result.begin(), digest.size(), digest.begin());
  return digest;
}

void AddTeam(team_directory& directory, fleet_team team,
             absl::Span<const key_digest> keys) {
  if (team.name.empty()) {
    directory.unusable.emplace_back("a team without a name");
    return;
  }
  for (const fleet_team& other : directory.teams) {
    if (other.name != team.name) continue;
    directory.unusable.push_back(
        absl::StrCat("team ", team.name, " is listed twice"));
    return;
  }
  if (keys.empty()) {
    directory.unusable.push_back(
        absl::StrCat("team ", team.name, " has no keys"));
    return;
  }
  team.key = TeamKey(team.name);
  const size_t index = directory.teams.size();
  for (const key_digest& digest : keys) {
    const auto [entry, is_new] = directory.keys.try_emplace(
        IndexOf(digest), team_directory::key_entry{digest, index});
    if (is_new || entry->second.team == index) continue;
    directory.unusable.push_back(
        absl::StrCat("team ", team.name, " has a key of team ",
                     directory.teams[entry->second.team].name));
  }
  directory.teams.push_back(std::move(team));
}

const fleet_team* FindTeamOfKey(const team_directory& directory,
                                absl::string_view key) {
  const key_digest digest = DigestOf(key);
  const auto found = directory.keys.find(IndexOf(digest));
  if (found == directory.keys.end()) return nullptr;
  if (!ConstantTimeEqual(found->second.digest, digest)) return nullptr;
  return &directory.teams[found->second.team];
}

absl::Status CredentialError(const caller_credential& credential) {
  switch (credential.kind) {
    case caller_credential::state::missing:
      return MakeError(error_kind::missing_credential,
                       "the route needs a key of a team");
    case caller_credential::state::malformed:
      return MakeError(error_kind::unknown_credential,
                       "the credential is malformed or too long");
    case caller_credential::state::repeated:
      return MakeError(error_kind::unknown_credential,
                       "the request has more than one credential");
    case caller_credential::state::present:
      break;
  }
  return MakeError(error_kind::unknown_credential,
                   "the key belongs to no team");
}

double UnitsOf(const usage_cap& cap, double tokens) {
  if (!cap.counts_tokens) return 1;
  return tokens > 0 ? tokens : cap.plain_tokens;
}

}  // namespace anvilridge
