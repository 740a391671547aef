#include "fleet_daemon/fleet_daemon.h"

#include <QCoreApplication>
#include <QJsonObject>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/event_thread.h"
#include "base/published.h"
#include "base/qt_text.h"
#include "base/signal_watch.h"
#include "caller/caller_port.h"
#include "dispatch/dispatcher.h"
#include "fleet_daemon/stage_steering_service.h"
#include "log/decision_log.h"
#include "metrics/health_port.h"
#include "metrics/metrics.h"
#include "settings/settings_values.h"
#include "sharing/share_port.h"

namespace anvilridge {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr absl::Duration kStopPollInterval = absl::Milliseconds(50);
// How long the balancer may go on sending new connections after this daemon
// has said that it isn't ready: two of its questions, a second apart, and one
// more for their way.
constexpr absl::Duration kLeaveRotation = absl::Seconds(3);
// How often the settings file is looked at: it may change without a signal.
constexpr absl::Duration kSettingsInterval = absl::Seconds(2);
// How often the workload is sampled for the control thread.
constexpr absl::Duration kWorkloadInterval = absl::Milliseconds(500);
// Left of the grace when the last answers are cut.
constexpr absl::Duration kStopMargin = absl::Milliseconds(300);

class running_fleet_daemon {
 public:
  running_fleet_daemon(const fleet_settings& settings,
                       const fleet_platform& platform)
      : settings_(settings),
        request_metrics_(metrics_),
        sources_(platform.open_sources(settings)),
        control_(sources_,
                 [this](std::shared_ptr<const fleet_view> view) {
                   PublishView(std::move(view));
                 }),
        member_(EndpointText(settings.sharing.listen), settings.order_lease,
                sources_.group,
                [this](const std::vector<std::string>& members) {
                  PostTo(traffic_.Context(), [this, members] {
                    if (sharing_) sharing_->SetPeers(members);
                  });
                }),
        steering_(SteeringSources(), platform.speaker),
        caller_(std::make_unique<caller_port>(
            settings.caller, settings.limits,
            std::vector<QObject*>{traffic_.Context()})),
        readiness_(settings.readiness, &context_, Sources(),
                   ReadinessPaths(settings)),
        metrics_port_(settings.metrics, &context_, Sources()) {
    RunAndWait(traffic_.Context(), [this, &platform] {
      dispatcher_ =
          std::make_unique<dispatcher>(DispatchSettings(), platform.speaker,
                                       request_metrics_, traffic_.Context());
      MakeSharing();
    });
  }

  ~running_fleet_daemon() {
    // Cuts what is left, and tells its flows, which use the dispatcher.
    caller_.reset();
    RunAndWait(traffic_.Context(), [this] {
      sharing_.reset();
      dispatcher_.reset();
    });
  }

  absl::Status Start() {
    absl::Status started = readiness_.Listen();
    RunAndWait(traffic_.Context(), [this, &started] {
      started.Update(sharing_->Listen(settings_.sharing.listen));
    });
    started.Update(metrics_port_.Listen());
    started.Update(caller_->Listen([this](size_t) {
      return [this](const inbound_request& request,
                    const std::shared_ptr<inbound_exchange>& exchange) {
        if (dispatcher_) dispatcher_->Handle(request, exchange);
      };
    }));
    if (!started.ok()) return started;
    control_.Start();
    member_.Start();
    steering_.Start();
    workload_timer_ = RunEvery(kWorkloadInterval, [this] {
      PostTo(traffic_.Context(), [this] {
        if (!dispatcher_) return;
        workload_.Set(
            std::make_shared<const workload_sample>(dispatcher_->Workload()));
      });
    });
    LogEvent(log_level::info, "started",
             {{"caller_port", caller_->Port()},
              {"readiness_port", readiness_.Port()},
              {"metrics_port", metrics_port_.Port()},
              {"version", ANVIL_VERSION}});
    return absl::OkStatus();
  }

  // Takes over what can change without a restart; the old settings hold when
  // the new ones can't be used.
  void Reload(const settings_loader& load) {
    const auto loaded = load();
    if (const auto* errors =
            std::get_if<std::vector<settings_error>>(&loaded)) {
      for (const settings_error& error : *errors) {
        LogEvent(log_level::error, "settings_not_reloaded",
                 {{"why", QtText(SettingsErrorText(error))}});
      }
      return;
    }
    const auto& changed = std::get<fleet_settings>(loaded);
    const bool needs_restart =
        EndpointText(changed.caller.listen) !=
            EndpointText(settings_.caller.listen) ||
        EndpointText(changed.store) != EndpointText(settings_.store);
    settings_.budget = changed.budget;
    settings_.stop_grace = changed.stop_grace;
    LogEvent(needs_restart ? log_level::warn : log_level::info,
             "settings_reloaded",
             {{"budget_ratio", settings_.budget.ratio},
              {"budget_slack", settings_.budget.slack},
              {"needs_restart", needs_restart}});
    PostTo(traffic_.Context(), [this, dispatch = DispatchSettings()] {
      if (dispatcher_) dispatcher_->SetSettings(dispatch);
    });
  }

  // Leaves the balancer's rotation, finishes the requests in progress, then
  // ends the event loop.
  void Stop() {
    if (stop_timer_) return;
    stop_began_ = MonotonicNow();
    LogEvent(log_level::info, "stop_began",
             {{"requests", caller_->RequestsInProgress()}});
    caller_->BeginDrain();
    PostTo(traffic_.Context(), [this, grace = settings_.stop_grace] {
      if (dispatcher_) dispatcher_->BeginStop(grace);
    });
    member_.Leave();
    stop_timer_ = RunEvery(kStopPollInterval, [this] { TryExit(); });
  }

 private:
  dispatch_settings DispatchSettings() const {
    dispatch_settings dispatch;
    // Others tell daemons apart by where they share.
    dispatch.daemon = EndpointText(settings_.sharing.listen);
    dispatch.failure_domain = settings_.failure_domain;
    dispatch.budget = settings_.budget;
    dispatch.health = settings_.health;
    return dispatch;
  }

  static health_paths ReadinessPaths(const fleet_settings& settings) {
    health_paths paths;
    paths.ready = settings.readiness_path;
    return paths;
  }

  steering_sources SteeringSources() {
    steering_sources sources;
    sources.view = [this] { return control_.View(); };
    sources.right = [this](absl::Time now) { return member_.OrderRight(now); };
    sources.workload = [this] { return workload_.Get(); };
    sources.on_order = [this](const fleet_upstream& engine,
                              absl::Duration longest) {
      PostTo(traffic_.Context(), [this, engine, longest] {
        if (dispatcher_) dispatcher_->NoteStageOrder(engine, longest);
      });
    };
    return sources;
  }

  void MakeSharing() {
    share_handler handler;
    handler.own_share = [this] { return dispatcher_->OwnShare(); };
    handler.on_share = [this](absl::string_view peer, load_share share) {
      dispatcher_->SetPeerShare(peer, std::move(share));
    };
    handler.on_daemons = [this](int daemons) {
      dispatcher_->SetDaemons(daemons);
    };
    sharing_ = std::make_unique<share_port>(std::move(handler));
    dispatcher_->OnShareChange([this] { sharing_->NoteChange(); });
  }

  health_sources Sources() {
    return {[this] { return Ready(); },
            [this] { return metrics_.MetricsText(); }};
  }

  absl::Status Ready() const {
    if (stop_timer_) {
      return MakeError(error_kind::shutting_down, "this daemon is stopping");
    }
    return control_.Ready();
  }

  void PublishView(std::shared_ptr<const fleet_view> view) {
    PostTo(traffic_.Context(), [this, view = std::move(view)] {
      if (!dispatcher_) return;
      dispatcher_->SetView(view);
      sharing_->SetCells(dispatcher_->Cells());
    });
  }

  void TryExit() {
    const absl::Duration since = MonotonicNow() - stop_began_;
    const bool idle =
        since >= kLeaveRotation && caller_->RequestsInProgress() == 0;
    if (!idle && since < settings_.stop_grace - kStopMargin) return;
    LogEvent(log_level::info, "stop_ended",
             {{"requests", caller_->RequestsInProgress()}});
    QCoreApplication::quit();
  }

  fleet_settings settings_;
  QObject context_;
  metrics_registry metrics_;
  dispatch_metrics request_metrics_;
  event_thread traffic_{"traffic"};
  // Made, used and destroyed on the traffic thread.
  std::unique_ptr<dispatcher> dispatcher_;
  std::unique_ptr<share_port> sharing_;
  const fleet_sources sources_;
  fleet_control control_;
  group_member member_;
  // Measured on the traffic thread now and then.
  published<workload_sample> workload_;
  std::unique_ptr<QTimer> workload_timer_;
  stage_steering_service steering_;
  std::unique_ptr<caller_port> caller_;
  health_port readiness_;
  health_port metrics_port_;
  std::unique_ptr<QTimer> stop_timer_;
  absl::Time stop_began_;
};

// What of the settings may change without a restart, as one text.
std::string TextOf(
    const std::variant<fleet_settings, std::vector<settings_error>>& loaded) {
  if (const auto* errors = std::get_if<std::vector<settings_error>>(&loaded)) {
    return errors->empty() ? "" : SettingsErrorText(errors->front());
  }
  const auto& settings = std::get<fleet_settings>(loaded);
  return absl::StrCat(settings.budget.ratio, " ", settings.budget.slack, " ",
                      absl::FormatDuration(settings.budget.window), " ",
                      absl::FormatDuration(settings.stop_grace), " ",
                      EndpointText(settings.caller.listen), " ",
                      EndpointText(settings.store));
}

int Complain(const absl::Status& status) {
  std::fprintf(stderr, "anvilridge_fleet: %s\n",
               std::string(status.message()).c_str());
  return kExitFailed;
}

// Runs the daemon until it is told to stop; returns the exit status once all of
// it is closed.
int Serve(const fleet_settings& settings, const fleet_platform& platform,
          const settings_loader& load) {
  running_fleet_daemon daemon(settings, platform);
  // Before the daemon is ready: a signal must not end it by default.
  const signal_watch reload({SIGHUP}, [&] { daemon.Reload(load); });
  const signal_watch stop({SIGTERM, SIGINT}, [&daemon] { daemon.Stop(); });
  if (absl::Status started = daemon.Start(); !started.ok()) {
    return Complain(started);
  }
  const auto watch = RunEvery(kSettingsInterval, [&, last = load()]() mutable {
    auto now = load();
    if (TextOf(now) == TextOf(last)) return;
    last = std::move(now);
    daemon.Reload(load);
  });
  QCoreApplication::exec();
  return kExitOk;
}

}  // namespace

int RunFleetDaemon(const fleet_settings& settings,
                   const fleet_platform& platform,
                   const settings_loader& load) {
  int count = 1;
  char name[] = "anvilridge_fleet";
  char* arguments[] = {name, nullptr};
  QCoreApplication app(count, arguments);
  if (absl::Status opened = OpenLog(settings.log, settings.name);
      !opened.ok()) {
    return Complain(opened);
  }
  const int status = Serve(settings, platform, load);
  LogEvent(log_level::info, "stopped", {{"status", status}});
  return status;
}

}  // namespace anvilridge
