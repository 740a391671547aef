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
#include "base/heap_blocks.h"
#include "base/published.h"
#include "base/qt_text.h"
#include "base/signal_watch.h"
#include "caller/caller_port.h"
#include "dispatch/dispatcher.h"
#include "fleet_daemon/connection_cut_report.h"
#include "fleet_daemon/effective_limits.h"
#include "fleet_daemon/stage_steering_service.h"
#include "fleet_daemon/store_call_count.h"
#include "log/decision_log.h"
#include "metrics/health_port.h"
#include "metrics/metrics.h"
#include "quarantine/quarantine_text.h"
#include "settings/settings_values.h"
#include "sharing/load_exchange.h"

namespace anvilridge {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr absl::Duration kStopPollInterval = absl::Milliseconds(10);
// Longest time for which the load balancer may open new connections after the
// readiness check has begun to fail: two of its checks, which are 1 s apart,
// and 1 s more for network delay.
constexpr absl::Duration kBalancerLag = absl::Seconds(3);
// Time between two reads of the settings file, which may change without a
// SIGHUP.
constexpr absl::Duration kSettingsPollInterval = absl::Seconds(2);
// Part of the machine's memory for requests of callers and for answers that
// they have not taken.
constexpr int64_t kCallerMemoryParts = 8;
// Time between two samples of the workload for the control thread.
constexpr absl::Duration kWorkloadInterval = absl::Milliseconds(500);
// Part of `stop_grace` left for closing down once the remaining responses are
// cut off.
constexpr absl::Duration kStopMargin = absl::Milliseconds(300);
// Time for which the callers' port closes, and the last final responses of a
// stop are sent, before the remaining ones are cut off.
constexpr absl::Duration kClosingTime = absl::Milliseconds(200);

constexpr metric_name kStoreReader{
    "anvil_fleet_store_reader",
    "Whether this daemon reads the store for the daemons of its cell"};
constexpr metric_name kViewAge{
    "anvil_fleet_view_age_seconds",
    "Time since configuration and upstreams were known to be complete"};

// The daemon between its start and its exit. Used on the control thread; the
// dispatcher and the load exchange run on the traffic thread.
class running_fleet_daemon {
 public:
  running_fleet_daemon(const fleet_settings& settings,
                       const fleet_platform& platform)
      : settings_(settings),
        request_metrics_(metrics_),
        sources_(CountStoreCalls(platform.open_sources(settings), metrics_)),
        control_(
            sources_,
            [this](std::shared_ptr<const fleet_view> view) {
              PublishView(std::move(view));
            },
            [this](const store_report& report) {
              PostTo(traffic_.Context(), [this, report] {
                if (load_exchange_) load_exchange_->SendStoreReport(report);
              });
            }),
        group_member_(EndpointText(settings.sharing.listen),
                      settings.order_lease, sources_.group,
                      [this](const std::vector<std::string>& members) {
                        PostTo(traffic_.Context(), [this, members] {
                          if (load_exchange_) load_exchange_->SetPeers(members);
                        });
                      }),
        steering_(SteeringSources(), platform.protocol),
        caller_port_(std::make_unique<caller_port>(
            settings.caller, settings.limits,
            std::vector<QObject*>{traffic_.Context()})),
        readiness_port_(settings.readiness, &context_, HealthSources(),
                        ReadinessPaths(settings)),
        metrics_port_(settings.metrics, &context_, MetricsSources()) {
    caller_port_->SetMaxHeldBytes(settings.memory / kCallerMemoryParts);
    caller_port_->SetHeadCheck(
        {[this] { return dispatcher_ && dispatcher_->ChecksHeads(); },
         [this](const inbound_request& head) {
           return dispatcher_->CheckHead(head);
         }});
    caller_port_->OnCut(
        [this](const connection_cut& cut) {
          ReportConnectionCut(cut, metrics_);
        },
        platform.request_id_field);
    RunAndWait(traffic_.Context(), [this, &platform] {
      dispatcher_ =
          std::make_unique<dispatcher>(DispatchSettings(), platform.protocol,
                                       request_metrics_, traffic_.Context());
      MakeLoadExchange();
    });
  }

  ~running_fleet_daemon() {
    // Closes the remaining connections first: their requests still use the
    // dispatcher when they are cut off.
    caller_port_.reset();
    RunAndWait(traffic_.Context(), [this] {
      load_exchange_->AnnounceLeaving();
      load_exchange_.reset();
      dispatcher_.reset();
    });
  }

  // Opens the ports and starts all services. Returns the first error of a port
  // that can't be opened.
  absl::Status Start() {
    absl::Status started = readiness_port_.Listen();
    RunAndWait(traffic_.Context(), [this, &started] {
      started.Update(load_exchange_->Listen(settings_.sharing.listen));
    });
    started.Update(metrics_port_.Listen());
    started.Update(caller_port_->Listen([this](size_t) {
      return [this](const inbound_request& request,
                    const std::shared_ptr<inbound_exchange>& exchange) {
        if (dispatcher_) dispatcher_->Handle(request, exchange);
      };
    }));
    if (!started.ok()) return started;
    control_.Start();
    group_member_.Start();
    steering_.Start();
    workload_timer_ = RunEvery(kWorkloadInterval, [this] {
      UpdateStoreMetrics();
      PostTo(traffic_.Context(), [this] {
        if (!dispatcher_) return;
        workload_.Set(
            std::make_shared<const service_workloads>(dispatcher_->Workload()));
      });
    });
    LogEvent(log_level::info, "started",
             {{"caller_port", caller_port_->Port()},
              {"readiness_port", readiness_port_.Port()},
              {"metrics_port", metrics_port_.Port()},
              {"version", ANVIL_VERSION}});
    return absl::OkStatus();
  }

  // Applies the settings that can change without a restart. Keeps the current
  // settings if the new ones are invalid.
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

  // Begins a planned stop: fails the readiness check, finishes the requests in
  // progress, then ends the event loop. Further calls have no effect.
  void BeginStop() {
    if (stop_timer_) return;
    stop_began_ = MonotonicNow();
    LogEvent(log_level::info, "stop_began",
             {{"requests", caller_port_->RequestsInProgress()}});
    caller_port_->BeginDrain();
    // Fixed here: a reload during the stop doesn't change it.
    stop_end_ = stop_began_ + settings_.stop_grace - kStopMargin;
    PostTo(traffic_.Context(), [this, earliest_end = stop_began_ + kBalancerLag,
                                deadline = stop_end_ - kClosingTime] {
      if (dispatcher_) dispatcher_->BeginStop(earliest_end, deadline);
    });
    group_member_.Leave();
    stop_timer_ = RunEvery(kStopPollInterval, [this] { ExitIfDone(); });
  }

 private:
  dispatch_settings DispatchSettings() const {
    dispatch_settings dispatch;
    // Other daemons identify this one by the address of its load exchange.
    dispatch.daemon = EndpointText(settings_.sharing.listen);
    dispatch.failure_domain = settings_.failure_domain;
    dispatch.budget = settings_.budget;
    dispatch.health = settings_.health;
    dispatch.caps = settings_.caps;
    dispatch.memory = static_cast<size_t>(settings_.memory);
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
    sources.right = [this](absl::Time now) {
      return group_member_.OrderRight(now);
    };
    sources.workload = [this] { return workload_.Get(); };
    sources.on_stage_order = [this](const fleet_upstream& engine,
                                    absl::Duration max_delay) {
      PostTo(traffic_.Context(), [this, engine, max_delay] {
        if (dispatcher_) dispatcher_->RecordStageOrder(engine, max_delay);
      });
    };
    sources.absence = [this](const fleet_upstream& engine, absl::Time now) {
      const auto absences = absences_.Get();
      return absences ? AbsenceOf(*absences, engine, now)
                      : absence_reason::none;
    };
    sources.on_statement = [this](const fleet_upstream& engine,
                                  const upstream_statement& statement,
                                  absl::string_view call) {
      PostTo(traffic_.Context(),
             [this, engine, statement, call = std::string(call)] {
               if (!dispatcher_) return;
               dispatcher_->RecordStatement(engine, statement, call);
             });
    };
    return sources;
  }

  // Connects the load exchange with the dispatcher. Runs on the traffic thread.
  void MakeLoadExchange() {
    load_exchange_handler handler;
    handler.own_load = [this] { return dispatcher_->OwnLoad(); };
    handler.on_load = [this](absl::string_view peer, daemon_load share) {
      dispatcher_->SetPeerLoad(peer, std::move(share));
    };
    handler.on_daemon_count = [this](int daemons) {
      dispatcher_->SetDaemonCount(daemons);
    };
    handler.on_group_knowledge = [this](const group_knowledge& knowledge) {
      PostTo(&context_, [this, rate = GroupListingRate(knowledge)] {
        group_member_.SetListingRate(rate);
      });
    };
    handler.evidence = [this] { return dispatcher_->Evidence(); };
    handler.on_evidence = [this](const staged_evidence& evidence) {
      dispatcher_->AddEvidence(evidence);
    };
    handler.on_store_reader = [this](bool is_reader) {
      PostTo(&context_, [this, is_reader] { control_.SetReader(is_reader); });
    };
    handler.on_store_report = [this](store_report report) {
      PostTo(&context_, [this, report = std::move(report)] {
        control_.HandleReport(report);
      });
    };
    load_exchange_ = std::make_unique<load_exchange>(std::move(handler));
    dispatcher_->OnAbsenceChange([this] {
      absences_.Set(
          std::make_shared<const stated_absences>(dispatcher_->Absences()));
    });
    dispatcher_->OnEvidenceChange([this] {
      quarantine_.Set(
          std::make_shared<const quarantine_report>(dispatcher_->Quarantine()));
      load_exchange_->ScheduleEvidence();
    });
    dispatcher_->OnLoadChange([this] { load_exchange_->ScheduleSend(); });
  }

  health_sources HealthSources() {
    return {[this] { return Ready(); },
            [this] { return metrics_.MetricsText(); }};
  }

  // As `HealthSources`, with the quarantine, which is for operators.
  health_sources MetricsSources() {
    health_sources sources = HealthSources();
    sources.quarantine_text = [this] {
      const auto report = quarantine_.Get();
      return QuarantineText(report ? *report : quarantine_report(),
                            MonotonicNow());
    };
    sources.lift_quarantine = [this](absl::string_view name) {
      return LiftQuarantine(PromptPartNamed(name));
    };
    return sources;
  }

  bool LiftQuarantine(prompt_part part) {
    const auto report = quarantine_.Get();
    if (!report || !IsQuarantined(*report, part)) return false;
    PostTo(traffic_.Context(), [this, part] {
      if (dispatcher_) dispatcher_->LiftQuarantine(part);
    });
    return true;
  }

  absl::Status Ready() const {
    if (stop_timer_) {
      return MakeError(error_kind::shutting_down, "this daemon is stopping");
    }
    return control_.Ready();
  }

  void UpdateStoreMetrics() {
    metrics_.Gauge(kStoreReader).Set(control_.IsReader() ? 1 : 0);
    const absl::Duration age = MonotonicNow() - control_.CompleteAt();
    metrics_.Gauge(kViewAge).Set(absl::ToDoubleSeconds(age));
  }

  // Applies the limits on callers of a new configuration.
  void ApplyLimits(const fleet_config& config) {
    if (config.limits == configured_limits_) return;
    configured_limits_ = config.limits;
    const limit_settings limits =
        EffectiveLimits(settings_.limits, config.limits);
    LogEvent(
        log_level::info, "caller_limits_in_force",
        {{"version", static_cast<double>(config.version)},
         {"max_header_bytes", static_cast<double>(limits.max_header_bytes)},
         {"max_body_bytes", static_cast<double>(limits.max_body_bytes)},
         {"header_ms",
          static_cast<double>(absl::ToInt64Milliseconds(
              limits.header_timeout.value_or(limits.request_timeout)))},
         {"idle_ms", static_cast<double>(
                         absl::ToInt64Milliseconds(limits.idle_timeout))}});
    caller_port_->SetLimits(limits);
  }

  void PublishView(std::shared_ptr<const fleet_view> view) {
    if (view->config) ApplyLimits(*view->config);
    PostTo(traffic_.Context(), [this, view = std::move(view)] {
      if (!dispatcher_) return;
      dispatcher_->SetView(view);
      load_exchange_->SetCells(dispatcher_->Cells());
    });
  }

  // Closes the callers' port once all requests have ended and the load balancer
  // sends no more, or shortly before the end of `stop_grace`. From then on, the
  // requests that still arrive are refused.
  void CloseIfDone() {
    const absl::Time now = MonotonicNow();
    const bool idle = now - stop_began_ >= kBalancerLag &&
                      caller_port_->RequestsInProgress() == 0;
    if (!idle && now < stop_end_ - kClosingTime) return;
    closing_ = true;
    LogEvent(log_level::info, "caller_port_closing",
             {{"requests", caller_port_->RequestsInProgress()},
              {"connections", caller_port_->Connections()}});
    // Before the port hands over what it reads while it closes.
    PostTo(traffic_.Context(), [this] { dispatcher_->BeginClose(); });
    caller_port_->BeginClose();
  }

  // Ends the event loop once the callers' port has closed, or shortly before
  // the end of `stop_grace`.
  void ExitIfDone() {
    if (!closing_) CloseIfDone();
    const bool closed = closing_ && caller_port_->Closed();
    if (!closed && MonotonicNow() < stop_end_) return;
    LogEvent(log_level::info, "stop_ended",
             {{"requests", caller_port_->RequestsInProgress()}});
    RunAndWait(traffic_.Context(), [this] {
      LogRequestsCutByStop(dispatcher_->OpenRequests(), stop_began_);
    });
    QCoreApplication::quit();
  }

  fleet_settings settings_;
  QObject context_;
  metrics_registry metrics_;
  dispatch_metrics request_metrics_;
  event_thread traffic_{"traffic"};
  // `dispatcher_` and `load_exchange_` are created, used and destroyed on the
  // traffic thread.
  std::unique_ptr<dispatcher> dispatcher_;
  std::unique_ptr<load_exchange> load_exchange_;
  // What upstreams have stated; copied on the traffic thread after each change.
  published<stated_absences> absences_;
  // What is known of prompts that crash engines; copied in the same way.
  published<quarantine_report> quarantine_;
  const fleet_sources sources_;
  fleet_control control_;
  group_member group_member_;
  // Sampled on the traffic thread every `kWorkloadInterval`.
  published<service_workloads> workload_;
  std::unique_ptr<QTimer> workload_timer_;
  stage_steering_service steering_;
  std::unique_ptr<caller_port> caller_port_;
  // Limits on callers of the configuration in force.
  caller_limits configured_limits_;
  health_port readiness_port_;
  health_port metrics_port_;
  std::unique_ptr<QTimer> stop_timer_;
  absl::Time stop_began_;
  // Whether the callers' port closes.
  bool closing_ = false;
  // Time at which the responses in progress are cut off.
  absl::Time stop_end_;
};

// Returns the settings whose changes `Reload` applies or reports as one text,
// to compare two versions of the file; for invalid settings, their first error.
std::string ReloadableSettingsText(
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

// Writes the reason to stderr and returns the exit code of a failed start.
int ReportFailedStart(const absl::Status& status) {
  std::fprintf(stderr, "anvilridge_fleet: %s\n",
               std::string(status.message()).c_str());
  return kExitFailed;
}

// Runs the daemon until SIGTERM or SIGINT. Returns the exit code after all
// parts of the daemon are closed.
int RunUntilStopped(const fleet_settings& settings,
                    const fleet_platform& platform,
                    const settings_loader& load) {
  running_fleet_daemon daemon(settings, platform);
  // Handles signals before the daemon starts: by default, any of these would
  // end the process at once.
  const signal_watch reload({SIGHUP}, [&] { daemon.Reload(load); });
  const signal_watch stop({SIGTERM, SIGINT}, [&daemon] { daemon.BeginStop(); });
  if (absl::Status started = daemon.Start(); !started.ok()) {
    return ReportFailedStart(started);
  }
  const auto watch =
      RunEvery(kSettingsPollInterval, [&, last = load()]() mutable {
        auto now = load();
        if (ReloadableSettingsText(now) == ReloadableSettingsText(last)) return;
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
  ReturnLargeBlocksWhenFreed();
  int count = 1;
  char name[] = "anvilridge_fleet";
  char* arguments[] = {name, nullptr};
  QCoreApplication app(count, arguments);
  if (absl::Status opened = OpenLog(settings.log, settings.name);
      !opened.ok()) {
    return ReportFailedStart(opened);
  }
  const int exit_code = RunUntilStopped(settings, platform, load);
  LogEvent(log_level::info, "stopped", {{"status", exit_code}});
  return exit_code;
}

}  // namespace anvilridge
