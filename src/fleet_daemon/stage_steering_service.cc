#include "fleet_daemon/stage_steering_service.h"

#include <QJsonObject>
#include <QObject>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "dispatch/stage_plan.h"
#include "http1/channel_client.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// How often the stages are looked at: several times within the time for which
// a want must last.
constexpr absl::Duration kInterval = absl::Milliseconds(250);
// Time for an answer of an engine; orders may be carried out later than this.
constexpr absl::Duration kAnswerTime = absl::Milliseconds(800);
// An order whose answer was lost may be carried out for this long: no other is
// given to the engine before.
constexpr absl::Duration kLostOrderLife = absl::Seconds(13);
// Beyond the switching time, for the engine's running work to end.
constexpr absl::Duration kSwitchMargin = absl::Seconds(6);
constexpr int kOk = 200;
constexpr int kAccepted = 202;

// An engine that was ordered about and may not show it yet.
struct ordered_engine {
  engine_stage stage = engine_stage::none;
  absl::Time until;
};

}  // namespace

struct stage_steering_service::impl {
  steering_sources sources;
  fleet_speaker speaker;
  channel_client client;
  QObject context;
  std::unique_ptr<QTimer> timer;
  std::map<std::string, stage_steering, std::less<>> services;
  std::map<std::string, ordered_engine, std::less<>> ordered;
  bool in_progress = false;

  void Look();
  void LookAt(const fleet_service& service, const fleet_view& view,
              const stream_workload& workload);
  void AskReport(const stage_change& change, absl::Duration switch_time);
  void GiveOrder(const stage_change& change, const engine_report& report,
                 absl::Duration switch_time);
  void OrderEnded(const stage_change& change, absl::Duration switch_time,
                  const http_result& result);
};

void stage_steering_service::impl::Look() {
  const absl::Time now = MonotonicNow();
  const auto view = sources.view();
  const auto workload = sources.workload();
  if (in_progress || !view || !view->config || !workload) return;
  if (!sources.right(now)) return;
  std::erase_if(ordered,
                [now](const auto& entry) { return entry.second.until <= now; });
  for (const auto& [name, service] : view->config->services) {
    const auto found = workload->find(name);
    if (!service.generates || found == workload->end()) continue;
    LookAt(service, *view, found->second);
  }
}

void stage_steering_service::impl::LookAt(const fleet_service& service,
                                          const fleet_view& view,
                                          const stream_workload& workload) {
  const auto found = view.upstreams.find(service.name);
  if (found == view.upstreams.end()) return;
  std::vector<fleet_upstream> engines = found->second;
  for (fleet_upstream& engine : engines) {
    const auto order = ordered.find(engine.id);
    if (order == ordered.end()) continue;
    engine.stage = order->second.stage;
  }
  const auto change =
      PlanStageChange(services[service.name], workload, engines,
                      service.engine.stage_switch, MonotonicNow());
  if (!change || ordered.contains(change->engine.id)) return;
  LogEvent(log_level::info, "stage_change_planned",
           {{"upstream", QtText(change->engine.id)},
            {"stage", static_cast<int>(change->stage)},
            {"prefill_share", PrefillShare(workload)},
            {"mean_prompt", workload.mean_prompt},
            {"mean_output", workload.mean_output},
            {"streams", workload.streams},
            {"engines", static_cast<int>(engines.size())}});
  in_progress = true;
  AskReport(*change, service.engine.stage_switch);
}

void stage_steering_service::impl::AskReport(const stage_change& change,
                                             absl::Duration switch_time) {
  http_call call = speaker.write_report(change.engine);
  call.timeout = kAnswerTime;
  http_handler handler;
  handler.on_done = [this, change, switch_time](const http_result& result) {
    in_progress = false;
    if (!result.status.ok() || result.http_status != kOk) {
      LogEvent(log_level::warn, "report_failed",
               {{"upstream", QtText(change.engine.id)},
                {"status", result.http_status},
                {"why", QtText(result.status.message())}});
      return;
    }
    const absl::StatusOr<engine_report> report =
        speaker.read_report(result.body);
    if (!report.ok()) {
      LogEvent(log_level::warn, "report_unreadable",
               {{"upstream", QtText(change.engine.id)},
                {"why", QtText(report.status().message())}});
      return;
    }
    if (report->busy || report->stage == change.stage) return;
    GiveOrder(change, *report, switch_time);
  };
  client.Start(std::move(call), std::move(handler));
}

void stage_steering_service::impl::GiveOrder(const stage_change& change,
                                             const engine_report& report,
                                             absl::Duration switch_time) {
  // The right may have gone while the report was on its way.
  const auto right = sources.right(MonotonicNow());
  if (!right) return;
  stage_order order;
  order.stage = change.stage;
  order.holder = right->holder;
  order.fencing_token = right->fencing_token;
  order.expected_order_count = report.order_count;
  http_call call = speaker.write_stage_order(change.engine, order);
  call.timeout = kAnswerTime;
  ordered[change.engine.id] = {change.stage, MonotonicNow() + kLostOrderLife};
  LogEvent(log_level::info, "stage_ordered",
           {{"upstream", QtText(change.engine.id)},
            {"stage", static_cast<int>(change.stage)},
            {"fencing_token", static_cast<double>(order.fencing_token)},
            {"order_count", static_cast<double>(report.order_count)}});
  sources.on_order(change.engine, kLostOrderLife);
  in_progress = true;
  http_handler handler;
  handler.on_done = [this, change, switch_time](const http_result& result) {
    in_progress = false;
    OrderEnded(change, switch_time, result);
  };
  client.Start(std::move(call), std::move(handler));
}

void stage_steering_service::impl::OrderEnded(const stage_change& change,
                                              absl::Duration switch_time,
                                              const http_result& result) {
  const bool accepted =
      result.http_status == kAccepted || result.http_status == kOk;
  LogEvent(accepted ? log_level::info : log_level::warn, "stage_order_ended",
           {{"upstream", QtText(change.engine.id)},
            {"status", result.http_status},
            {"why", QtText(result.status.message())}});
  if (result.http_status == 0) return;
  const absl::Duration life =
      accepted ? switch_time + kSwitchMargin : switch_time;
  ordered[change.engine.id].until = MonotonicNow() + life;
  if (accepted) return;
  // A refused order has changed nothing.
  ordered[change.engine.id].stage = change.engine.stage;
  sources.on_order(change.engine, absl::ZeroDuration());
}

stage_steering_service::stage_steering_service(steering_sources sources,
                                               fleet_speaker speaker)
    : impl_(std::make_unique<impl>()) {
  impl_->sources = std::move(sources);
  impl_->speaker = std::move(speaker);
}

stage_steering_service::~stage_steering_service() = default;

void stage_steering_service::Start() {
  impl_->timer = RunEvery(kInterval, [self = impl_.get()] { self->Look(); });
}

}  // namespace anvilridge
