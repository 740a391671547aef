#include "dispatch/crash_check.h"

#include <QJsonObject>
#include <utility>

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "dispatch/dispatch_state.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// Timeout of a check. The streams that the engine broke off wait for it.
constexpr absl::Duration kCheckTimeout = absl::Milliseconds(300);

engine_condition ConditionOf(const http_result& result,
                             const response_info& info) {
  if (result.status.ok()) {
    return info.other_instance ? engine_condition::crashed
                               : engine_condition::alive;
  }
  const bool refused = KindOf(result.status) == error_kind::upstream_failed &&
                       RunStateOf(result.status) == run_state::not_run;
  return refused ? engine_condition::crashed : engine_condition::unknown;
}

void EndCheck(dispatch_state& state, const fleet_upstream& engine,
              engine_condition condition, absl::Time start,
              const http_result& result) {
  LogEvent(log_level::info, "crash_check",
           {{"upstream", QtText(engine.id)},
            {"service", QtText(engine.service)},
            {"started_ms", static_cast<double>(engine.started_ms)},
            {"condition", QtText(EngineConditionName(condition))},
            {"status", result.http_status},
            {"why", QtText(result.status.message())},
            {"ms", static_cast<double>(
                       absl::ToInt64Milliseconds(MonotonicNow() - start))}});
  const auto found = state.crash_checks.find(engine.id);
  if (found == state.crash_checks.end()) return;
  const std::vector<crash_check_listener> listeners = std::move(found->second);
  state.crash_checks.erase(found);
  for (const crash_check_listener& listener : listeners) listener(condition);
}

}  // namespace

absl::string_view EngineConditionName(engine_condition condition) {
  switch (condition) {
    case engine_condition::alive:
      return "alive";
    case engine_condition::crashed:
      return "crashed";
    case engine_condition::unknown:
      return "unknown";
  }
  return "unknown";
}

void CheckForCrash(dispatch_state& state, const fleet_upstream& engine,
                   crash_check_listener listener) {
  const auto [check, is_new] = state.crash_checks.try_emplace(engine.id);
  check->second.push_back(std::move(listener));
  if (!is_new) return;
  const absl::Time start = MonotonicNow();
  if (IsAbsent(state, engine, start)) {
    // The engine has asked for no further calls.
    RunAfter(state.context, absl::ZeroDuration(), [&state, engine, start] {
      EndCheck(state, engine, engine_condition::unknown, start, {});
    });
    return;
  }
  http_call call = state.protocol.build_report_call(engine);
  call.connect_timeout = kUpstreamConnectTimeout;
  call.timeout = kCheckTimeout;
  call.max_body_bytes = kMaxControlResponseBytes;
  http_handler handler;
  handler.on_done = [&state, engine, start](const http_result& result) {
    const response_info info =
        state.protocol.parse_response(result.http_status, result.headers);
    EndCheck(state, engine, ConditionOf(result, info), start, result);
  };
  StartUpstreamCall(state, engine, "crash_check", std::move(call),
                    std::move(handler));
}

}  // namespace anvilridge
