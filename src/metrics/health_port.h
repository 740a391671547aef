#ifndef ANVILRIDGE_METRICS_HEALTH_PORT_H_
#define ANVILRIDGE_METRICS_HEALTH_PORT_H_

#include <QObject>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// What the health port asks for; called on the thread of its context.
struct health_sources {
  /// Ok when the daemon serves, or an error that says why it does not.
  std::function<absl::Status()> readiness;
  /// Text in the format of Prometheus.
  std::function<std::string()> metrics_text;
  /// Optional: the quarantine of prompts as JSON.
  std::function<std::string()> quarantine_text = nullptr;
  /// Optional: lifts the quarantine of the part with this name. Returns false
  /// if it isn't quarantined.
  std::function<bool(absl::string_view part)> lift_quarantine = nullptr;
};

/// Where a health port serves what it knows.
struct health_paths {
  std::string alive = "/healthz";
  std::string ready = "/readyz";
  std::string metrics = "/metrics";
  /// Shows the quarantine of prompts; with a slash and the name of a part
  /// behind it, `DELETE` lifts that of the part.
  std::string quarantine = "/quarantine";
};

/// Serves whether the process lives, whether it is ready, and its metrics.
class health_port {
 public:
  /// Serves on the thread of `context`, which must outlive this.
  health_port(port_settings port, QObject* context, health_sources sources,
              health_paths paths = {});
  ~health_port();

  /// Fails with a message that names the address when it can't be listened on.
  absl::Status Listen();

  uint16_t Port() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_METRICS_HEALTH_PORT_H_
