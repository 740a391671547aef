#include "requests/completion_stream.h"

#include <memory>
#include <string>
#include <utility>

#include "base/error_kind.h"
#include "requests/completion_attempt.h"
#include "requests/completion_end.h"
#include "requests/completion_ownership.h"
#include "requests/resume_token.h"

namespace anvilridge {
namespace {

void TakeToken(const completion_ptr& flow, int index,
               const std::string& token) {
  if (LeaseLost(*flow)) return Readopt(flow);
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
  flow->outcome.decode_failed = !refused;
  RetryElsewhere(flow, ended, flow->grant.decode.name);
}

}  // namespace

void ReadDecodeStream(const completion_ptr& flow) {
  SetStage(*flow, "decode");
  flow->outcome.decode_started = true;
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
