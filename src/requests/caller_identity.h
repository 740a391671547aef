#ifndef ANVILRIDGE_REQUESTS_CALLER_IDENTITY_H_
#define ANVILRIDGE_REQUESTS_CALLER_IDENTITY_H_

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "config/config_state.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Who sends a request.
struct caller_identity {
  std::string team;
  std::string key_name;
  /// Of the team; higher is served first.
  int priority = 5;
};

/// Finds the team whose key the `Authorization: Bearer` field carries. Fails
/// with `missing_credential` or `unknown_credential`.
absl::StatusOr<caller_identity> Authenticate(const config_state& config,
                                             const http_headers& headers);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_CALLER_IDENTITY_H_
