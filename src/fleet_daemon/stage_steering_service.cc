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
#include "dispatch/dispatch_state.h"
#include "dispatch/stage_plan.h"
#include "http1/channel_client.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// Time between two comparisons of the stages with the workload: short enough
// for several comparisons while a mismatch lasts long enough to change a stage.
constexpr absl::Duration kSteeringInterval = absl::Milliseconds(250);
// Timeout of a call to an engine. The engine may carry out an order after this
// timeout.
constexpr absl::Duration kResponseTimeout = absl::Milliseconds(800);
// Longest time until an engine carries out an order whose response was lost. No
// other order is sent to the engine within this time.
constexpr absl::Duration kLostOrderLifetime = absl::Seconds(13);
// Time added to the service's switch time, in which the engine finishes the
// work that it has in flight.
constexpr absl::Duration kSwitchMargin = absl::Seconds(6);
constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;

// An order whose effect may not show in the engine's registration yet.
struct recent_order {
  // Replaces the stage in the engine's registration until `until`.
  engine_stage stage = engine_stage::none;
  // End of the time without a further order to this engine.
  absl::Time until;
};

}  // namespace

struct stage_steering_service::impl {
  steering_sources sources;
  fleet_protocol protocol;
  channel_client client;
  QObject context;
  std::unique_ptr<QTimer> timer;
  // By name of the service.
  std::map<std::string, stage_steering, std::less<>> services;
  // By id of the engine.
  std::map<std::string, recent_order, std::less<>> recent_orders;
  // What engines have stated in responses to this service's own calls. It is
  // known here before `sources.absence` returns it.
  stated_absences own_absences;
  // Whether a call to an engine is in flight. Meanwhile `SteerAll` plans no
  // change.
  bool call_in_flight = false;

  // Steers each service with engines, if this daemon may send orders and no
  // call is in flight.
  void SteerAll();
  // Plans a change of one engine's stage, if needed, and begins it.
  void SteerService(const fleet_service& service, const fleet_view& view,
                    const stream_workload& workload);
  // Returns why `engine` must get no calls by its own statement.
  absence_reason Absence(const fleet_upstream& engine) const;
  // Returns a handler that records what `engine` states about itself in the
  // response to `call`.
  std::function<void(int, const http_headers&)> StatementReader(
      const fleet_upstream& engine, absl::string_view call);
  // Fetches the engine's report, then sends the order unless the engine is busy
  // or already in the planned stage.
  void FetchReport(const stage_change& change, absl::Duration switch_time);
  // Sends the order if this daemon still holds the right to.
  void SendOrder(const stage_change& change, const engine_report& report,
                 absl::Duration switch_time);
  // Handles the response to an order, or its absence.
  void HandleOrderResult(const stage_change& change, absl::Duration switch_time,
                         const http_result& result);
};

void stage_steering_service::impl::SteerAll() {
  const absl::Time now = MonotonicNow();
  const auto view = sources.view();
  const auto workload = sources.workload();
  if (call_in_flight || !view || !view->config || !workload) return;
  RemoveGoneInstances(own_absences, view->upstreams, now);
  if (!sources.right(now)) return;
  std::erase_if(recent_orders,
                [now](const auto& entry) { return entry.second.until <= now; });
  for (const auto& [name, service] : view->config->services) {
    const auto found = workload->find(name);
    if (!service.generates || found == workload->end()) continue;
    SteerService(service, *view, found->second);
  }
}

void stage_steering_service::impl::SteerService(
    const fleet_service& service, const fleet_view& view,
    const stream_workload& workload) {
  const auto found = view.upstreams.find(service.name);
  if (found == view.upstreams.end()) return;
  std::vector<fleet_upstream> engines = found->second;
  for (fleet_upstream& engine : engines) {
    if (Absence(engine) == absence_reason::leaving) engine.draining = true;
    const auto order = recent_orders.find(engine.id);
    if (order == recent_orders.end()) continue;
    engine.stage = order->second.stage;
  }
  const auto change =
      PlanStageChange(services[service.name], workload, engines,
                      service.engine.stage_switch, MonotonicNow());
  if (!change || recent_orders.contains(change->engine.id)) return;
  if (Absence(change->engine) != absence_reason::none) return;
  LogEvent(log_level::info, "stage_change_planned",
           {{"upstream", QtText(change->engine.id)},
            {"stage", static_cast<int>(change->stage)},
            {"prefill_share", PrefillShare(workload)},
            {"mean_prompt", workload.mean_prompt},
            {"mean_output", workload.mean_output},
            {"streams", workload.streams},
            {"engines", static_cast<int>(engines.size())}});
  call_in_flight = true;
  FetchReport(*change, service.engine.stage_switch);
}

absence_reason stage_steering_service::impl::Absence(
    const fleet_upstream& engine) const {
  const absl::Time now = MonotonicNow();
  const absence_reason own = AbsenceOf(own_absences, engine, now);
  return own == absence_reason::none ? sources.absence(engine, now) : own;
}

std::function<void(int, const http_headers&)>
stage_steering_service::impl::StatementReader(const fleet_upstream& engine,
                                              absl::string_view call) {
  return [this, engine, call = std::string(call)](int http_status,
                                                  const http_headers& headers) {
    const upstream_statement statement =
        protocol.parse_response(http_status, headers).statement;
    RecordStatement(own_absences, engine, statement, MonotonicNow());
    sources.on_statement(engine, statement, call);
  };
}

void stage_steering_service::impl::FetchReport(const stage_change& change,
                                               absl::Duration switch_time) {
  http_call call = protocol.build_report_call(change.engine);
  call.connect_timeout = kUpstreamConnectTimeout;
  call.timeout = kResponseTimeout;
  call.max_body_bytes = kMaxControlResponseBytes;
  http_handler handler;
  handler.on_headers = StatementReader(change.engine, "report");
  handler.on_done = [this, change, switch_time](const http_result& result) {
    call_in_flight = false;
    if (!result.status.ok() || result.http_status != kHttpOk) {
      LogEvent(log_level::warn, "report_failed",
               {{"upstream", QtText(change.engine.id)},
                {"status", result.http_status},
                {"why", QtText(result.status.message())}});
      return;
    }
    const absl::StatusOr<engine_report> report =
        protocol.parse_report(result.body);
    if (!report.ok()) {
      LogEvent(log_level::warn, "report_unreadable",
               {{"upstream", QtText(change.engine.id)},
                {"why", QtText(report.status().message())}});
      return;
    }
    if (report->busy || report->stage == change.stage) return;
    SendOrder(change, *report, switch_time);
  };
  client.Start(std::move(call), std::move(handler));
}

void stage_steering_service::impl::SendOrder(const stage_change& change,
                                             const engine_report& report,
                                             absl::Duration switch_time) {
  // This daemon may have lost the right while it waited for the report.
  const auto right = sources.right(MonotonicNow());
  if (!right || Absence(change.engine) != absence_reason::none) return;
  stage_order order;
  order.stage = change.stage;
  order.holder = right->holder;
  order.fencing_token = right->fencing_token;
  order.expected_order_count = report.order_count;
  http_call call = protocol.build_stage_order_call(change.engine, order);
  call.connect_timeout = kUpstreamConnectTimeout;
  call.timeout = kResponseTimeout;
  call.max_body_bytes = kMaxControlResponseBytes;
  recent_orders[change.engine.id] = {change.stage,
                                     MonotonicNow() + kLostOrderLifetime};
  LogEvent(log_level::info, "stage_ordered",
           {{"upstream", QtText(change.engine.id)},
            {"stage", static_cast<int>(change.stage)},
            {"fencing_token", static_cast<double>(order.fencing_token)},
            {"order_count", static_cast<double>(report.order_count)}});
  sources.on_stage_order(change.engine, kLostOrderLifetime);
  call_in_flight = true;
  http_handler handler;
  handler.on_headers = StatementReader(change.engine, "order");
  handler.on_done = [this, change, switch_time](const http_result& result) {
    call_in_flight = false;
    HandleOrderResult(change, switch_time, result);
  };
  client.Start(std::move(call), std::move(handler));
}

void stage_steering_service::impl::HandleOrderResult(
    const stage_change& change, absl::Duration switch_time,
    const http_result& result) {
  const bool accepted =
      result.http_status == kHttpAccepted || result.http_status == kHttpOk;
  LogEvent(accepted ? log_level::info : log_level::warn, "stage_order_ended",
           {{"upstream", QtText(change.engine.id)},
            {"status", result.http_status},
            {"why", QtText(result.status.message())}});
  // Without a response, the engine may still carry out the order.
  if (result.http_status == 0) return;
  const absl::Duration lifetime =
      accepted ? switch_time + kSwitchMargin : switch_time;
  recent_orders[change.engine.id].until = MonotonicNow() + lifetime;
  if (accepted) return;
  // The engine rejected the order, so it keeps its stage.
  recent_orders[change.engine.id].stage = change.engine.stage;
  sources.on_stage_order(change.engine, absl::ZeroDuration());
}

stage_steering_service::stage_steering_service(steering_sources sources,
                                               fleet_protocol protocol)
    : impl_(std::make_unique<impl>()) {
  impl_->sources = std::move(sources);
  impl_->protocol = std::move(protocol);
}

stage_steering_service::~stage_steering_service() = default;

void stage_steering_service::Start() {
  impl_->timer =
      RunEvery(kSteeringInterval, [self = impl_.get()] { self->SteerAll(); });
}

}  // namespace anvilridge
