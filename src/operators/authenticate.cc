#include "operators/authenticate.h"

#include <QByteArray>
#include <QCryptographicHash>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/ids.h"
#include "config/config_names.h"

namespace anvilridge {

std::string KeyHash(absl::string_view key) {
  const QByteArray bytes(key.data(), static_cast<qsizetype>(key.size()));
  return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

absl::StatusOr<principal> Authenticate(absl::string_view authorization,
                                       const config_state* config,
                                       absl::string_view bootstrap_hash) {
  constexpr absl::string_view kScheme = "Bearer ";
  if (!absl::StartsWithIgnoreCase(authorization, kScheme) ||
      authorization.size() == kScheme.size()) {
    return MakeError(error_kind::missing_credential,
                     "expected Authorization: Bearer KEY");
  }
  const std::string hash = KeyHash(authorization.substr(kScheme.size()));
  principal found;
  // All keys are compared, so that the time does not tell which one matched.
  if (config) {
    for (const auto& [name, key] : config->keys) {
      if (!ConstantTimeEqual(key.sha256_hex, hash)) continue;
      found = {name, key.team, key.role};
    }
  }
  if (ConstantTimeEqual(bootstrap_hash, hash)) {
    found = {std::string(kBootstrapName), "", operator_role::administer};
  }
  if (!found.name.empty()) return found;
  return MakeError(error_kind::unknown_credential, "the key is not known");
}

operator_role RoleFor(const config_command& command) {
  const bool credentials =
      command.object == object_kind::team || command.object == object_kind::key;
  return credentials ? operator_role::administer : operator_role::operate;
}

absl::Status CheckRole(const principal& who, operator_role role) {
  if (who.role >= role) return absl::OkStatus();
  return MakeError(
      error_kind::forbidden,
      absl::StrCat("key ", who.name, " has the role ", NameOf(who.role),
                   "; this takes ", NameOf(role)));
}

}  // namespace anvilridge
