#include "daemon/daemon.h"

#include <QCoreApplication>
#include <QTimer>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "base/heap_blocks.h"
#include "base/signal_watch.h"
#include "caller/caller_port.h"
#include "daemon/control_plane.h"
#include "daemon/metric_names.h"
#include "daemon/ports_file.h"
#include "daemon/traffic_metrics.h"
#include "daemon/traffic_thread.h"
#include "log/decision_log.h"
#include "metrics/health_port.h"
#include "metrics/metrics.h"
#include "settings/parse_settings.h"

namespace anvilridge {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr absl::Duration kStopPollInterval = absl::Milliseconds(50);
// Every request has its own time limits; one that outlives all of them is a
// fault that must not keep a stop from ending.
constexpr absl::Duration kLongestStop = absl::Minutes(5);
// How long a stop waits, after the last request, for engines to confirm cancels
// and for the log to take the outcomes of claimed calls. The engine's home
// cancels what an ended daemon has left behind; a key without an outcome stays
// used.
constexpr absl::Duration kLongestSettling = absl::Seconds(3);
// How long connections without a request may take to close.
constexpr absl::Duration kLongestClosing = absl::Seconds(3);

// The daemon's parts, in the order in which they start; they end in reverse.
class running_daemon {
 public:
  running_daemon(const daemon_settings& settings, std::string deployment_key,
                 const std::string& administrator_key)
      : settings_(settings),
        plane_(settings, std::move(deployment_key), administrator_key,
               MakeRequestMetrics(metrics_)),
        health_(settings.metrics, &context_, HealthSources()) {}

  absl::Status Start() {
    if (absl::Status started = plane_.Start(); !started.ok()) return started;
    StartTrafficThreads();
    caller_ = std::make_unique<caller_port>(settings_.caller, settings_.limits,
                                            ThreadContexts());
    caller_->SetMaxHeldBytes(settings_.limits.max_held_bytes);
    caller_->OnRefuse(
        [refused = MakeRequestMetrics(metrics_)](const absl::Status& error) {
          CountFailure(refused, "", error);
        });
    absl::Status listening = caller_->Listen(
        [this](size_t thread) { return threads_[thread]->Handler(); });
    if (!listening.ok()) return listening;
    if (absl::Status bound = health_.Listen(); !bound.ok()) return bound;
    LogEvent(log_level::info, "started",
             {{"caller_port", caller_->Port()},
              {"operator_port", plane_.OperatorPort()},
              {"peer_port", plane_.PeerPort()},
              {"metrics_port", health_.Port()}});
    return WritePortsFile(settings_.identity.ports_file,
                          {caller_->Port(), plane_.OperatorPort(),
                           plane_.PeerPort(), health_.Port()});
  }

  // Finishes the requests in progress, then ends the event loop.
  void Stop() {
    if (stop_timer_) return;
    LogEvent(log_level::info, "stop_began",
             {{"requests", plane_.RequestsInProgress()}});
    stop_began_ = MonotonicNow();
    idle_since_ = stop_began_;
    plane_.BeginStop();
    caller_->BeginDrain();
    stop_timer_ = RunEvery(kStopPollInterval, [this] { TryExit(); });
  }

 private:
  // Whether nothing is in progress and no more can arrive. The port closes once
  // no admitted request is in progress; the others, which are refused, would
  // keep it busy as long as callers come.
  bool EndPort(absl::Time now) {
    if (plane_.RequestsInProgress() > 0) return false;
    if (!close_began_) {
      close_began_ = now;
      caller_->BeginClose();
    }
    if (caller_->Closed()) return true;
    return caller_->RequestsInProgress() == 0 &&
           now - *close_began_ > kLongestClosing;
  }

  void TryExit() {
    const absl::Time now = MonotonicNow();
    const bool late = now - stop_began_ > kLongestStop;
    if (!EndPort(now) && !late) {
      idle_since_ = now;
      return;
    }
    const bool settled =
        plane_.CancelsPending() == 0 && plane_.RecordsWritten();
    if (!late && !settled && now - idle_since_ < kLongestSettling) return;
    LogEvent(late ? log_level::error : log_level::info, "stop_ended",
             {{"requests", plane_.RequestsInProgress()},
              {"cancels", static_cast<int>(plane_.CancelsPending())},
              {"unwritten_records", !plane_.RecordsWritten()}});
    QCoreApplication::quit();
  }

  health_sources HealthSources() {
    health_sources sources;
    sources.readiness = [this] { return plane_.Ready(); };
    sources.metrics_text = [this] {
      plane_.UpdateMetrics(metrics_);
      metrics_.Gauge(kConnections).Set(caller_->Connections());
      return metrics_.MetricsText();
    };
    sources.quarantine_text = [this] { return plane_.QuarantineText(); };
    sources.lift_quarantine = [this](absl::string_view part) {
      return plane_.LiftQuarantine(part);
    };
    return sources;
  }

  void StartTrafficThreads() {
    for (int i = 0; i < settings_.identity.traffic_threads; ++i) {
      threads_.push_back(std::make_unique<traffic_thread>(
          [this](QObject* thread) { return plane_.ServicesFor(thread); }));
    }
  }

  std::vector<QObject*> ThreadContexts() const {
    std::vector<QObject*> contexts;
    for (const auto& thread : threads_) contexts.push_back(thread->Context());
    return contexts;
  }

  daemon_settings settings_;
  QObject context_;
  metrics_registry metrics_;
  control_plane plane_;
  std::vector<std::unique_ptr<traffic_thread>> threads_;
  std::unique_ptr<caller_port> caller_;
  health_port health_;
  std::unique_ptr<QTimer> stop_timer_;
  absl::Time stop_began_;
  // When the callers' port began to close, if it has.
  std::optional<absl::Time> close_began_;
  // Since when nothing is in progress, while a stop is.
  absl::Time idle_since_;
};

int Complain(const absl::Status& status) {
  std::fprintf(stderr, "anvilridged: %s\n",
               std::string(status.message()).c_str());
  return kExitFailed;
}

}  // namespace

int RunDaemon(const daemon_settings& settings) {
  ReturnLargeBlocksWhenFreed();
  int count = 1;
  char name[] = "anvilridged";
  char* arguments[] = {name, nullptr};
  QCoreApplication app(count, arguments);
  if (absl::Status opened = OpenLog(settings.log, settings.identity.name);
      !opened.ok()) {
    return Complain(opened);
  }
  const absl::StatusOr<std::string> key = ReadKeyFile(settings.peers.key_file);
  if (!key.ok()) return Complain(key.status());
  std::string administrator_key;
  if (!settings.administrator_key_file.empty()) {
    const absl::StatusOr<std::string> read =
        ReadKeyFile(settings.administrator_key_file);
    if (!read.ok()) return Complain(read.status());
    administrator_key = *read;
  }
  running_daemon daemon(settings, *key, administrator_key);
  if (absl::Status started = daemon.Start(); !started.ok()) {
    return Complain(started);
  }
  const signal_watch stop({SIGTERM, SIGINT}, [&daemon] { daemon.Stop(); });
  QCoreApplication::exec();
  return kExitOk;
}

}  // namespace anvilridge
