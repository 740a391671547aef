#include "requests/prompt_check.h"

#include <xxhash.h>

#include <utility>

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/qt_text.h"
#include "log/decision_log.h"
#include "requests/completion_body.h"
#include "requests/completion_end.h"
#include "upstreams/engine_client.h"

namespace anvilridge {
namespace {

bool IsConnectionRefused(const absl::Status& status) {
  return !status.ok() && KindOf(status) == error_kind::upstream_failed &&
         RunStateOf(status) == run_state::not_run;
}

}  // namespace

prompt_parts PartsOfPrompt(absl::string_view prompt) {
  prompt_parts parts = PromptPrefixHashes(prompt);
  parts.push_back(XXH64(prompt.data(), prompt.size(), /*seed=*/0));
  return parts;
}

bool MayUseEngines(completion_state& flow) {
  const request_services& services = ServicesOf(flow);
  const auto verdict = services.verdict_on(flow.parts);
  if (!verdict || flow.is_trial) return true;
  const absl::Time now = MonotonicNow();
  if (now >= verdict->next_trial) {
    LogEvent(log_level::warn, "quarantine_trial",
             {{"request_id", QtText(flow.request.request_id)},
              {"parts", QtText(PromptPartNames(verdict->parts))}});
    flow.is_trial = true;
    services.begin_trial(flow.parts);
    return true;
  }
  FailCompletion(flow, QuarantineError(*verdict, now));
  return false;
}

void CheckForCrash(const completion_ptr& flow, const chosen_engine& engine,
                   const absl::Status& why, std::function<void()> next) {
  // A trial is over with its first attempt.
  flow->is_trial = false;
  if (KindOf(why) != error_kind::upstream_failed) return next();
  GetEngineLoad(
      *flow->context.client, engine.address,
      [flow, name = engine.name, next = std::move(next)](const auto& load) {
        if (IsConnectionRefused(load.status())) {
          ServicesOf(*flow).report_crash(name, flow->parts);
        }
        if (!flow->over) next();
      });
}

}  // namespace anvilridge
