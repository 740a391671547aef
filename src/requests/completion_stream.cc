#include "requests/completion_stream.h"

#include <memory>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/error_kind.h"
#include "requests/completion_attempt.h"
#include "requests/completion_end.h"
#include "requests/completion_ownership.h"
#include "requests/prompt_check.h"
#include "requests/resume_token.h"

namespace anvilridge {
namespace {

// Finds where the stream's times go, once for all of its attempts.
void FindObservers(completion_state& flow) {
  if (flow.token_intervals) return;
  const request_services& services = ServicesOf(flow);
  const std::shared_ptr<const config_state> config = services.config();
  const auto route = config->routes.find(flow.request.route);
  const std::string pool =
      route == config->routes.end() ? "" : route->second.decode_pool;
  flow.first_tokens = services.metrics.first_tokens(pool);
  flow.token_intervals = services.metrics.token_intervals(pool);
}

void ObserveToken(completion_state& flow) {
  const absl::Time now = MonotonicNow();
  const bool first = flow.last_token == absl::InfinitePast();
  // The first token of a resumed stream went to another connection.
  if (first && !flow.resumed) flow.first_tokens(now - flow.started);
  if (first) flow.first_token = now;
  if (!first) flow.token_intervals(now - flow.last_token);
  flow.last_token = now;
  if (flow.attempt_tokens++ > 0 || flow.resumed) return;
  ServicesOf(flow).report_handled(flow.parts);
}

void TakeToken(const completion_ptr& flow, int index,
               const std::string& token) {
  if (LeaseLost(*flow)) return Readopt(flow);
  ObserveToken(*flow);
  const resume_token place{flow->engine_request_id, flow->grant.decode.name,
                           index};
  const std::string event_id = FormatResumeToken(
      place, flow->request.caller.team, ServicesOf(*flow).deployment_key);
  const absl::Status written = WriteToken(flow->writer, index, token, event_id);
  if (!written.ok()) FailCompletion(*flow, written);
}

void EndStream(const completion_ptr& flow, const absl::Status& ended) {
  flow->stream = nullptr;
  if (flow->over) return;
  if (ended.ok()) {
    flow->outcome.decode_finished = true;
    FinishAnswer(flow->writer);
    return EndCompletion(*flow, absl::OkStatus());
  }
  if (KindOf(ended) == error_kind::resume_fenced) {
    return FailFenced(*flow, ended);
  }
  if (LeaseLost(*flow)) return Readopt(flow);
  const bool refused = KindOf(ended) == error_kind::upstream_refused;
  if (refused && ended.message() == "not_owner") {
    return FailFenced(*flow,
                      MakeError(error_kind::resume_fenced,
                                "another daemon has taken this stream over"));
  }
  if (refused && flow->resumed) {
    return FailCompletion(
        *flow, MakeError(error_kind::resume_gone, "the engine has let it go"));
  }
  // The stream has reported its stalls as they came.
  flow->outcome.decode_failed = !refused && !IsStall(ended);
  if (flow->attempt_tokens > 0 || flow->resumed) {
    return RetryElsewhere(flow, ended, flow->grant.decode.name);
  }
  CheckForCrash(flow, flow->grant.decode, ended, [flow, ended] {
    RetryElsewhere(flow, ended, flow->grant.decode.name);
  });
}

}  // namespace

void ReadDecodeStream(const completion_ptr& flow) {
  SetStage(*flow, "decode");
  flow->outcome.decode_started = true;
  FindObservers(*flow);
  decode_listener listener;
  listener.on_token = [flow](int index, const std::string& token) {
    TakeToken(flow, index, token);
  };
  listener.on_end = [flow](const absl::Status& ended) {
    EndStream(flow, ended);
  };
  flow->stream = std::make_shared<decode_stream>(flow->context, SourceOf(*flow),
                                                 std::move(listener));
  flow->stream->Attach(flow->writer.next_index);
}

}  // namespace anvilridge
