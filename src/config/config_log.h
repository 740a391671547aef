#ifndef ANVILRIDGE_CONFIG_CONFIG_LOG_H_
#define ANVILRIDGE_CONFIG_CONFIG_LOG_H_

#include <functional>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "infrastructure/log_client.h"

namespace anvilridge {

/// Stream of commands.
inline constexpr absl::string_view kConfigStream = "config";
/// Stream of whole states.
inline constexpr absl::string_view kSnapshotStream = "config-snapshots";

/// The log calls that the service makes, as `log_client` has them.
struct config_log {
  std::function<void(absl::string_view stream,
                     const std::vector<log_append>& records,
                     std::function<void(absl::StatusOr<int64_t>)> done)>
      append;
  std::function<void(absl::string_view stream, int64_t from, int limit,
                     absl::Duration wait,
                     std::function<void(absl::StatusOr<log_page>)> done)>
      read;
};

/// Returns the calls of `client`, which must outlive them.
config_log LogCallsOf(log_client& client);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_CONFIG_LOG_H_
