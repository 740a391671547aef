#include "requests/completion_flow.h"

#include <functional>
#include <utility>

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "log/decision_log.h"
#include "requests/completion_attempt.h"
#include "requests/completion_end.h"
#include "requests/completion_ownership.h"
#include "requests/completion_state.h"
#include "requests/prompt_check.h"

namespace anvilridge {
namespace {

// How long a started answer is kept for a caller that may come back.
constexpr absl::Duration kResumeGrace = absl::Seconds(2);

// Whether an engine holds what the caller could come back for. None does
// between two attempts.
bool IsHeldForResume(const completion_state& flow) {
  return flow.writer.stream && flow.writer.next_index > 0 &&
         (flow.resumed || flow.outcome.decode_started);
}

void CallerLeft(const completion_ptr& flow) {
  if (flow->over) return;
  const bool may_resume = IsHeldForResume(*flow);
  LogEvent(log_level::info, "caller_left",
           {{"request_id", QtText(flow->request.request_id)},
            {"stage", QtText(flow->stage)},
            {"resumable", may_resume}});
  flow->writer.ended = true;
  if (!may_resume) return EndCompletion(*flow, absl::OkStatus());
  // The engine goes on for a short while, so that the caller can come back
  // through another daemon, which then owns the request.
  StopCall(*flow);
  RunAfter(flow->context.thread, kResumeGrace,
           [flow] { EndCompletion(*flow, absl::OkStatus()); });
}

void WatchCaller(const completion_ptr& flow) {
  flow->writer.exchange->OnClosed(
      [weak = std::weak_ptr<completion_state>(flow)] {
        if (const completion_ptr held = weak.lock()) CallerLeft(held);
      });
}

// FailCompletion says `unknown` instead once an engine was asked.
void CancelByOperator(completion_state& flow) {
  FailCompletion(flow, MakeError(error_kind::cancelled,
                                 "an operator cancelled this request",
                                 run_state::not_run));
}

void Admit(const completion_ptr& flow, std::function<void()> next) {
  ServicesOf(*flow).admit(
      ActiveRequest(*flow, "admission"),
      [flow, next = std::move(next)](const absl::Status& admitted) {
        if (!admitted.ok()) return FailCompletion(*flow, admitted);
        flow->admitted = true;
        if (flow->over) {
          return ServicesOf(*flow).leave(flow->request.request_id);
        }
        next();
      },
      [weak = std::weak_ptr<completion_state>(flow)] {
        if (const completion_ptr held = weak.lock()) CancelByOperator(*held);
      });
}

void StartFlow(const completion_ptr& flow) {
  flow->started = MonotonicNow();
  flow->parts = PartsOfPrompt(flow->request.body.prompt);
  WatchCaller(flow);
  Admit(flow, [flow] {
    EarnRetries(flow->context.retries, flow->request.route,
                ServicesOf(*flow).retries);
    BeginAttempt(flow);
  });
}

void ResumeFlow(const completion_ptr& flow, const resume_token& token,
                const chosen_engine& engine) {
  flow->started = MonotonicNow();
  flow->writer.next_index = token.index + 1;
  flow->engine_request_id = token.request_id;
  flow->grant.decode = engine;
  flow->grant.owner = ServicesOf(*flow).owner();
  flow->resumed = true;
  WatchCaller(flow);
  Admit(flow, [flow] { TakeOver(flow); });
}

}  // namespace

void StartCompletion(flow_context& context, completion_request request,
                     std::shared_ptr<inbound_exchange> exchange) {
  StartFlow(std::make_shared<completion_state>(context, std::move(request),
                                               std::move(exchange)));
}

void ResumeCompletion(flow_context& context, completion_request request,
                      const resume_token& token,
                      std::shared_ptr<inbound_exchange> exchange) {
  const std::shared_ptr<const config_state> config = context.services->config();
  const auto upstream = config->upstreams.find(token.engine);
  if (upstream == config->upstreams.end()) {
    return RespondProblem(
        *exchange, MakeError(error_kind::resume_gone, "its engine is gone"),
        request.request_id);
  }
  const chosen_engine engine{upstream->second.name, upstream->second.address,
                             upstream->second.failure_domain};
  ResumeFlow(std::make_shared<completion_state>(context, std::move(request),
                                                std::move(exchange)),
             token, engine);
}

}  // namespace anvilridge
