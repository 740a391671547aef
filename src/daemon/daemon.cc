#include "daemon/daemon.h"

#include <QCoreApplication>
#include <cstdio>
#include <string>

#include "absl/status/status.h"
#include "daemon/stop_signal.h"
#include "log/decision_log.h"
#include "metrics/health_port.h"
#include "metrics/metrics.h"

namespace anvilridge {
namespace {

constexpr int kStartFailed = 1;

int ReportStartFailure(const absl::Status& status) {
  const std::string message(status.message());
  std::fprintf(stderr, "anvilridged: %s\n", message.c_str());
  return kStartFailed;
}

}  // namespace

int RunDaemon(const daemon_settings& settings) {
  int count = 1;
  char name[] = "anvilridged";
  char* arguments[] = {name, nullptr};
  QCoreApplication application(count, arguments);
  absl::Status status = OpenLog(settings.log, settings.identity.name);
  if (!status.ok()) return ReportStartFailure(status);
  const stop_signal stop([] {
    LogEvent(log_level::info, "stopping");
    QCoreApplication::quit();
  });
  metrics_registry metrics;
  QObject control;
  health_port health(settings.metrics, &control,
                     {[] { return absl::OkStatus(); },
                      [&metrics] { return metrics.MetricsText(); }});
  status = health.Listen();
  if (!status.ok()) return ReportStartFailure(status);
  LogEvent(log_level::info, "started", {{"metrics_port", health.Port()}});
  return QCoreApplication::exec();
}

}  // namespace anvilridge
