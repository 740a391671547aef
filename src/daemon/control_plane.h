#ifndef ANVILRIDGE_DAEMON_CONTROL_PLANE_H_
#define ANVILRIDGE_DAEMON_CONTROL_PLANE_H_

#include <QObject>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "metrics/metrics.h"
#include "requests/request_services.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// All control state of a daemon and the one thread that it lives on: who the
/// other daemons are, the configuration in force, the homes of engines, limits
/// and clean-up.
class control_plane {
 public:
  /// `deployment_key` is the secret that the deployment's daemons share,
  /// `administrator_key` the bootstrap key of operators, or "". `metrics` is
  /// what the flows report to.
  control_plane(const daemon_settings& settings, std::string deployment_key,
                const std::string& administrator_key, request_metrics metrics);
  ~control_plane();

  /// Binds the peer and operator ports and joins the other daemons.
  absl::Status Start();

  /// Returns the services that flows on `thread` use; their calls come here
  /// and their callbacks run on `thread`.
  request_services ServicesFor(QObject* thread);

  /// Ok when the daemon can serve; else why it can't.
  absl::Status Ready() const;

  uint16_t PeerPort() const;
  uint16_t OperatorPort() const;

  /// Requests in progress.
  int RequestsInProgress() const;

  /// Cancels that no engine has confirmed yet.
  size_t CancelsPending() const;

  /// Whether the log has all outcomes of claimed calls.
  bool RecordsWritten() const;

  /// Sets the metrics that tell the state of the control plane.
  void UpdateMetrics(metrics_registry& to) const;

  /// Returns what is known of prompts that crash engines, as JSON.
  std::string QuarantineText() const;

  /// Lifts the verdicts on the part `name` of prompts at all daemons. Returns
  /// false if there is none.
  bool LiftQuarantine(absl::string_view name);

  /// Announces a planned stop: not ready, and the homes move to other daemons.
  void BeginStop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_CONTROL_PLANE_H_
