#ifndef ANVILRIDGE_OPERATORS_AUTHENTICATE_H_
#define ANVILRIDGE_OPERATORS_AUTHENTICATE_H_

#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "config/config_state.h"

namespace anvilridge {

/// Who gives a command or asks a query.
struct principal {
  /// Name of the key.
  std::string name;
  /// Team whose rows alone it sees; empty for operators.
  std::string team;
  operator_role role = operator_role::none;
};

/// Name under which the bootstrap administrator's key acts.
inline constexpr absl::string_view kBootstrapName = "bootstrap";

/// Returns the SHA-256 of a key in lower-case hexadecimal digits.
std::string KeyHash(absl::string_view key);

/// Finds whose key the value of an `Authorization` field holds. `config` may
/// be null; `bootstrap_hash` is the hash of the bootstrap administrator's key,
/// or "". Errors are `missing_credential` and `unknown_credential`.
absl::StatusOr<principal> Authenticate(absl::string_view authorization,
                                       const config_state* config,
                                       absl::string_view bootstrap_hash);

/// Returns the role that a command takes: `administer` for teams and keys,
/// `operate` otherwise.
operator_role RoleFor(const config_command& command);

/// Returns `forbidden` unless `who` has at least `role`.
absl::Status CheckRole(const principal& who, operator_role role);

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_AUTHENTICATE_H_
