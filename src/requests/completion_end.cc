#include "requests/completion_end.h"

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/qt_text.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

void CancelOwn(completion_state& flow, const chosen_engine& engine) {
  CancelAs(flow, flow.grant.owner, engine);
}

void CountPrefill(const completion_state& flow) {
  if (!flow.outcome.prefilled) return;
  const prefill_use use =
      flow.attempt_tokens > 0 ? prefill_use::decoded : prefill_use::wasted;
  ServicesOf(flow).metrics.prefilled(flow.outcome.prefill_tokens, use);
}

// A resumed answer's first token went to another connection.
bool ServedInTarget(const completion_state& flow) {
  if (flow.resumed || flow.last_token == absl::InfinitePast()) return false;
  const std::shared_ptr<const config_state> config = ServicesOf(flow).config();
  const auto route = config->routes.find(flow.request.route);
  if (route == config->routes.end()) return false;
  const absl::Duration first = flow.first_token - flow.started;
  const absl::Duration rest = flow.last_token - flow.first_token;
  const int intervals = flow.writer.next_index - 1;
  return first <= route->second.first_token_target &&
         rest <= intervals * route->second.token_target;
}

// Counts the end of a request and returns its result's name.
absl::string_view CountEnd(const completion_state& flow,
                           const absl::Status& why) {
  const request_metrics& metrics = ServicesOf(flow).metrics;
  if (!why.ok()) {
    CountFailure(metrics, flow.request.route, why);
    return ResultName(why);
  }
  const absl::string_view result =
      flow.outcome.decode_finished ? kResultOk : kResultCallerLeft;
  metrics.ended(flow.request.route, result);
  if (ServedInTarget(flow) && flow.outcome.decode_finished) {
    metrics.served_in_target(flow.request.route);
  }
  return result;
}

}  // namespace

void CancelAs(completion_state& flow, const std::string& owner,
              const chosen_engine& engine) {
  ServicesOf(flow).cancel(
      {flow.engine_request_id, owner, engine.name, engine.address});
}

void CancelAtEngines(completion_state& flow) {
  StopCall(flow);
  if (flow.prefill_sent && !flow.outcome.decode_finished) {
    CancelOwn(flow, flow.grant.prefill);
  }
  if (flow.import_sent && !flow.outcome.decode_finished && !flow.fenced) {
    CancelOwn(flow, flow.grant.decode);
  }
  flow.prefill_sent = false;
  flow.import_sent = false;
}

void StopCall(completion_state& flow) {
  if (flow.stream) flow.stream->Detach();
  flow.stream = nullptr;
  if (flow.call != 0) flow.context.client->Cancel(flow.call);
  flow.call = 0;
}

void FinishPlacement(completion_state& flow) {
  if (flow.grant.decode.name.empty()) return;
  CountPrefill(flow);
  flow.outcome.request_id = flow.engine_request_id;
  flow.outcome.prefill = flow.grant.prefill;
  flow.outcome.decode = flow.grant.decode;
  ServicesOf(flow).finish(flow.outcome);
  flow.outcome = placement_outcome();
  flow.placed = false;
}

void FailCompletion(completion_state& flow, const absl::Status& error) {
  if (flow.over) return;
  // Once an engine was asked, it can't be said that nothing ran.
  const absl::Status shown = flow.may_have_run ? WithoutNotRun(error) : error;
  FailAnswer(flow.writer, shown);
  EndCompletion(flow, shown);
}

void FailFenced(completion_state& flow, const absl::Status& error) {
  flow.fenced = true;
  FailCompletion(flow, error);
}

void EndCompletion(completion_state& flow, const absl::Status& why) {
  if (flow.over) return;
  flow.over = true;
  const absl::string_view result = CountEnd(flow, why);
  if (!flow.placed && flow.attempts > 0) {
    ServicesOf(flow).abandon(flow.engine_request_id);
  }
  CancelAtEngines(flow);
  if (flow.placed) FinishPlacement(flow);
  if (flow.admitted) ServicesOf(flow).leave(flow.request.request_id);
  LogEvent(log_level::info, "request_ended",
           {{"request_id", QtText(flow.request.request_id)},
            {"stage", QtText(flow.stage)},
            {"tokens", flow.writer.next_index},
            {"result", QtText(result)},
            {"ms", absl::ToDoubleMilliseconds(MonotonicNow() - flow.started)}});
}

}  // namespace anvilridge
