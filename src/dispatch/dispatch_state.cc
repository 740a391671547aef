#include "dispatch/dispatch_state.h"

#include <QJsonObject>
#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/qt_text.h"
#include "dispatch/engine_cell.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// How long an assessment of the upstreams' health is used. A new ejection
// discards it at once, so that it delays only the return of ejected upstreams.
constexpr absl::Duration kHealthViewLifetime = absl::Milliseconds(100);

bool IsLeaving(const dispatch_state& state, const fleet_upstream& upstream,
               absl::Time now) {
  return upstream.draining ||
         AbsenceOf(state.absences, upstream, now) == absence_reason::leaving;
}

health_pools GroupIntoHealthPools(const dispatch_state& state, absl::Time now) {
  health_pools pools;
  for (const auto& [service, upstreams] : state.view->upstreams) {
    for (const fleet_upstream& upstream : upstreams) {
      if (IsLeaving(state, upstream, now)) continue;
      // Prefill engines are a pool of their own: engines of one stage can't do
      // the work of the other.
      std::string pool = service;
      if (upstream.stage == engine_stage::prefill) pool += "/prefill";
      pools[pool].push_back(upstream.id);
    }
  }
  return pools;
}

void RefreshHealth(dispatch_state& state, absl::Time now) {
  state.assessed_health =
      JudgeHealth(state.health, GroupIntoHealthPools(state, now),
                  state.settings.health, now);
  state.assessed_health_until = now + kHealthViewLifetime;
}

bool MayReceiveWork(dispatch_state& state, const fleet_upstream& upstream,
                    absl::Time now) {
  if (IsUpstreamUnavailable(state.unavailable_upstreams, EngineKey(upstream.id),
                            upstream.stage, now)) {
    return false;
  }
  if (IsReportedLeaving(state.reported_leaving, upstream, now)) return false;
  const auto health = state.assessed_health.find(upstream.id);
  if (health == state.assessed_health.end()) return true;
  if (health->second.phase == health_phase::ejected) return false;
  if (health->second.phase == health_phase::kept) return true;
  return absl::Uniform(state.random, 0.0, 1.0) < health->second.share;
}

bool IsModelEngine(const fleet_upstream& upstream) {
  return upstream.stage != engine_stage::none;
}

bool IsInOwnCell(const dispatch_state& state, const fleet_upstream& upstream) {
  return !IsModelEngine(upstream) ||
         CellOf(upstream.id, state.cells) == CellOf(state.name, state.cells);
}

void LogStatement(const fleet_upstream& upstream, absl::string_view event,
                  absl::string_view source, QJsonObject fields) {
  fields["upstream"] = QtText(upstream.id);
  fields["service"] = QtText(upstream.service);
  fields["started_ms"] = static_cast<double>(upstream.started_ms);
  fields["source"] = QtText(source);
  LogEvent(log_level::warn, event, fields);
}

void ReportResult(dispatch_state& state, const fleet_upstream& upstream,
                  call_result result) {
  const absl::Time now = MonotonicNow();
  upstream_health& health = state.health.upstreams[upstream.id];
  const int ejections = health.ejections;
  ReportCall(state.health, upstream.id, result, state.settings.health, now,
             absl::Uniform(state.random, 0.0, 1.0));
  if (health.ejections <= ejections) return;
  state.assessed_health_until = absl::InfinitePast();
  LogEvent(log_level::warn, "upstream_ejected",
           {{"upstream", QtText(upstream.id)},
            {"service", QtText(upstream.service)},
            {"address", QtText(upstream.address)},
            {"why", QtText(health.why)},
            {"for_ms", static_cast<double>(absl::ToInt64Milliseconds(
                           health.ejected_until - now))}});
}

}  // namespace

void ApplyFleetView(dispatch_state& state,
                    std::shared_ptr<const fleet_view> view) {
  state.view = std::move(view);
  state.assessed_health_until = absl::InfinitePast();
  size_t engines = 0;
  for (const auto& [service, upstreams] : state.view->upstreams) {
    engines += static_cast<size_t>(
        std::count_if(upstreams.begin(), upstreams.end(), IsModelEngine));
  }
  state.cells = CellCount(engines);
}

std::vector<const fleet_upstream*> UsableUpstreams(
    dispatch_state& state, absl::string_view service,
    const std::vector<std::string>& tried, absl::Time now) {
  std::vector<const fleet_upstream*> usable;
  if (!state.view) return usable;
  const auto found = state.view->upstreams.find(service);
  if (found == state.view->upstreams.end()) return usable;
  if (now >= state.assessed_health_until) RefreshHealth(state, now);
  std::vector<const fleet_upstream*> avoided;
  for (const fleet_upstream& upstream : found->second) {
    if (upstream.draining || !IsInOwnCell(state, upstream)) continue;
    if (IsAbsent(state, upstream, now)) continue;
    if (std::find(tried.begin(), tried.end(), upstream.id) != tried.end()) {
      continue;
    }
    (MayReceiveWork(state, upstream, now) ? usable : avoided)
        .push_back(&upstream);
  }
  return usable.empty() ? avoided : usable;
}

std::optional<absl::Time> EarliestReturn(dispatch_state& state,
                                         absl::string_view service,
                                         engine_stage stage, absl::Time now) {
  if (!state.view) return std::nullopt;
  const auto found = state.view->upstreams.find(service);
  if (found == state.view->upstreams.end()) return std::nullopt;
  std::optional<absl::Time> earliest;
  for (const fleet_upstream& upstream : found->second) {
    if (upstream.draining || !IsInOwnCell(state, upstream)) continue;
    if (upstream.stage != stage) continue;
    if (!IsAbsent(state, upstream, now)) return std::nullopt;
    const absl::Time until = AbsentUntil(state.absences, upstream);
    earliest = std::min(earliest.value_or(until), until);
  }
  return earliest;
}

bool IsStillAvailable(const dispatch_state& state,
                      const fleet_upstream& upstream, absl::Time now) {
  const auto registered = state.view->upstreams.find(upstream.service);
  if (registered == state.view->upstreams.end()) return false;
  return std::any_of(registered->second.begin(), registered->second.end(),
                     [&upstream](const fleet_upstream& entry) {
                       return entry.id == upstream.id && !entry.draining;
                     }) &&
         !IsAbsent(state, upstream, now);
}

bool IsAbsent(const dispatch_state& state, const fleet_upstream& upstream,
              absl::Time now) {
  return AbsenceOf(state.absences, upstream, now) != absence_reason::none;
}

void ReportStatement(dispatch_state& state, const fleet_upstream& upstream,
                     const upstream_statement& statement,
                     absl::string_view source) {
  const absl::Time now = MonotonicNow();
  const statement_news news =
      RecordStatement(state.absences, upstream, statement, now);
  for (const std::string& field : news.unreadable) {
    LogStatement(upstream, "statement_unreadable", source,
                 {{"why", QtText(field)}});
  }
  if (news.leaving) {
    state.assessed_health_until = absl::InfinitePast();
    LogStatement(upstream, "upstream_leaving", source, {});
    if (state.on_ledger_change) state.on_ledger_change();
  }
  if (news.paused) {
    LogStatement(
        upstream, "upstream_paused", source,
        {{"for_ms",
          static_cast<double>(absl::ToInt64Milliseconds(*statement.pause))}});
  }
  const bool changed = statement.pause || news.leaving;
  if (changed && state.on_absence_change) state.on_absence_change();
}

channel_client::call_id StartUpstreamCall(dispatch_state& state,
                                          const fleet_upstream& upstream,
                                          absl::string_view source,
                                          http_call call,
                                          http_handler handler) {
  handler.on_headers = [&state, upstream, source = std::string(source),
                        next = std::move(handler.on_headers)](
                           int http_status, const http_headers& headers) {
    ReportStatement(
        state, upstream,
        state.protocol.parse_response(http_status, headers).statement, source);
    if (next) next(http_status, headers);
  };
  return state.client.Start(std::move(call), std::move(handler));
}

void ReportStall(dispatch_state& state, const fleet_upstream& upstream) {
  ReportResult(state, upstream, call_result::stalled);
}

void ReportStall(dispatch_state& state, absl::string_view service,
                 absl::string_view id) {
  const auto found = state.view->upstreams.find(service);
  if (found == state.view->upstreams.end()) return;
  for (const fleet_upstream& upstream : found->second) {
    if (upstream.id == id) ReportStall(state, upstream);
  }
}

void ReportSend(dispatch_state& state, const fleet_upstream& upstream,
                send_outcome fate, bool misdirected) {
  const uint32_t key = EngineKey(upstream.id);
  const absl::Time now = MonotonicNow();
  if (fate == send_outcome::unsent) {
    RecordConnectFailure(state.unavailable_upstreams, key, now);
  } else if (fate != send_outcome::unknown) {
    RecordResponse(state.unavailable_upstreams, key, now);
  }
  if (misdirected) {
    RecordMisdirected(state.unavailable_upstreams, key, upstream.stage, now);
  } else if (fate == send_outcome::refused) {
    RecordRefusal(state.unavailable_upstreams, key, now);
  } else if (fate == send_outcome::answered) {
    RecordAccepted(state.unavailable_upstreams, key);
  }
  const bool failed =
      fate == send_outcome::unknown || fate == send_outcome::unsent;
  ReportResult(state, upstream, failed ? call_result::failed : call_result::ok);
}

bool TakeBudgetedSend(dispatch_state& state, absl::string_view service,
                      absl::string_view request_id, absl::string_view reason,
                      extra_send_need need) {
  const absl::Time now = MonotonicNow();
  const send_budget_limits& limits = state.settings.budget;
  const bool taken =
      ConsumeExtraSend(state.budget, service, limits, state.random, now, need);
  const send_credit& credit = SendCredit(state.budget, service, limits, now);
  const std::optional<int> daemons =
      SettledDaemonCount(state.budget.daemons, now);
  LogEvent(taken ? log_level::info : log_level::warn,
           taken ? "extra_send" : "send_budget_used_up",
           {{"request", QtText(request_id)},
            {"service", QtText(service)},
            {"reason", QtText(reason)},
            {"available", credit.available},
            {"daemons", daemons.value_or(0)},
            {"requests", static_cast<double>(credit.requests)},
            {"extra_sends", static_cast<double>(credit.extra_sends)}});
  if (taken) state.metrics->CountExtraSend(service, reason);
  return taken;
}

absl::Time ResponseDeadline(const fleet_request& request,
                            const fleet_route& route) {
  return std::min(request.deadline - kResponseMargin,
                  request.received + route.timeout);
}

absl::Duration TimeLeft(const fleet_request& request, const fleet_route& route,
                        absl::Time now) {
  return std::min(request.deadline, request.received + route.timeout) - now;
}

void RecordRefusal(dispatch_state& state, const fleet_request& request,
                   absl::string_view route, const absl::Status& error) {
  const absl::Duration took = MonotonicNow() - request.received;
  const error_answer& answer = AnswerFor(KindOf(error));
  LogEvent(
      log_level::warn, "request_refused",
      {{"request", QtText(request.id)},
       {"route", QtText(route)},
       {"kind", QtText(answer.name)},
       {"why", QtText(error.message())},
       {"ran", QtText(RunStateName(RunStateOf(error)))},
       {"retry_after_ms",
        static_cast<double>(absl::ToInt64Milliseconds(RetryAfterOf(error)))},
       {"prompt", static_cast<double>(request.prompt_tokens)},
       {"config", state.view && state.view->config
                      ? static_cast<double>(state.view->config->version)
                      : 0},
       {"ms", static_cast<double>(absl::ToInt64Milliseconds(took))}});
  state.metrics->CountRefusal(answer.name);
  state.metrics->CountRequest(route, answer.http_status, took);
}

void RefuseRequest(dispatch_state& state, inbound_exchange& exchange,
                   const fleet_request& request, absl::string_view route,
                   const absl::Status& error) {
  RecordRefusal(state, request, route, error);
  state.protocol.refuse(exchange, error, request.id);
}

}  // namespace anvilridge
