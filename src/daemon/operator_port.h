#ifndef ANVILRIDGE_DAEMON_OPERATOR_PORT_H_
#define ANVILRIDGE_DAEMON_OPERATOR_PORT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "daemon/control_state.h"

namespace anvilridge {

/// The operators' API of one daemon, on the control thread. Its view covers
/// all daemons: the rows of the others are asked for with each query.
class operator_port {
 public:
  /// `bootstrap_key` is the administrator's key from the settings, or "".
  operator_port(control_state& state, const std::string& bootstrap_key);
  ~operator_port();

  absl::Status Listen();
  uint16_t Port() const;

  /// Ends what followers read, for a planned stop.
  void BeginStop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_OPERATOR_PORT_H_
