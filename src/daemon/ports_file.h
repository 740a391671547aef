#ifndef ANVILRIDGE_DAEMON_PORTS_FILE_H_
#define ANVILRIDGE_DAEMON_PORTS_FILE_H_

#include <cstdint>
#include <string>

#include "absl/status/status.h"

namespace anvilridge {

/// The ports that a daemon has bound.
struct bound_ports {
  uint16_t caller = 0;
  uint16_t operators = 0;
  uint16_t peer = 0;
  uint16_t metrics = 0;
};

/// Writes `ports` to `file` as INI in one step, so that a reader never sees a
/// part; does nothing for an empty name.
absl::Status WritePortsFile(const std::string& file, const bound_ports& ports);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_PORTS_FILE_H_
