#include "requests/completion_ownership.h"

#include <string>

#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "log/decision_log.h"
#include "requests/completion_attempt.h"
#include "requests/completion_end.h"
#include "requests/completion_stream.h"
#include "requests/request_adoption.h"

namespace anvilridge {
namespace {

void TakeAdoption(const completion_ptr& flow, const absl::Status& adopted,
                  const std::string& old_owner) {
  if (KindOf(adopted) == error_kind::resume_fenced && !adopted.ok()) {
    return FailFenced(*flow, adopted);
  }
  LogEvent(log_level::info, "request_adopted",
           {{"request_id", QtText(flow->engine_request_id)},
            {"owner", QtText(flow->grant.owner)},
            {"from", QtText(old_owner)},
            {"ok", adopted.ok()}});
  if (flow->writer.ended && !flow->over) return;
  if (adopted.ok() && !flow->over) return ReadDecodeStream(flow);
  // The engine may hold it for either owner.
  CancelAs(*flow, old_owner, flow->grant.decode);
  CancelAs(*flow, flow->grant.owner, flow->grant.decode);
  if (!flow->over) RetryElsewhere(flow, adopted, flow->grant.decode.name);
}

}  // namespace

void Readopt(const completion_ptr& flow) {
  StopCall(*flow);
  // Once the caller has left, what it may come back for is cancelled later.
  if (!IsServed(*flow)) return;
  const std::string old_owner = flow->grant.owner;
  const std::string new_owner = ServicesOf(*flow).owner();
  if (!ServicesOf(*flow).may_act(new_owner)) {
    return RunAfter(flow->context.thread, kLeasePause,
                    [flow] { Readopt(flow); });
  }
  SetStage(*flow, "adoption");
  flow->grant.owner = new_owner;
  AdoptFrom(flow->context, SourceOf(*flow), old_owner,
            [flow, old_owner](const absl::Status& done) {
              TakeAdoption(flow, done, old_owner);
            });
}

void TakeOver(const completion_ptr& flow) {
  SetStage(*flow, "resume");
  flow->import_sent = true;
  AdoptFromAny(flow->context, SourceOf(*flow),
               [flow](const absl::Status& adopted) {
                 if (flow->over) return CancelAtEngines(*flow);
                 // What its caller may come back for is cancelled later.
                 if (!IsServed(*flow)) return;
                 if (!adopted.ok()) return FailCompletion(*flow, adopted);
                 ReadDecodeStream(flow);
               });
}

}  // namespace anvilridge
