#include "config/config_log.h"

#include <utility>

namespace anvilridge {

config_log LogCallsOf(log_client& client) {
  config_log calls;
  calls.append = [&client](absl::string_view stream,
                           const std::vector<log_append>& records, auto done) {
    client.Append(stream, records, std::move(done));
  };
  calls.read = [&client](absl::string_view stream, int64_t from, int limit,
                         absl::Duration wait, auto done) {
    client.Read(stream, from, limit, wait, std::move(done));
  };
  return calls;
}

}  // namespace anvilridge
