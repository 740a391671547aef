#include "requests/completion_attempt.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "log/decision_log.h"
#include "requests/attempt_calls.h"
#include "requests/completion_end.h"
#include "requests/completion_stream.h"
#include "requests/prompt_check.h"
#include "upstreams/engine_client.h"

namespace anvilridge {
namespace {

// Longest time past its prediction that a prefill may take.
constexpr absl::Duration kPrefillSlack = absl::Seconds(3);
// Pause before an import that found no free place is ordered again.
constexpr absl::Duration kImportRetryPause = absl::Milliseconds(20);
// How long an engine may take to confirm the cancel of a stalled import.
constexpr absl::Duration kCancelTimeout = absl::Milliseconds(200);
// An engine may be silent for this long and go on.
constexpr absl::Duration kLongestSilence = absl::Seconds(4);
// Attempts over different engines before the request is given up.
constexpr int kMaxAttempts = 3;

void Import(const completion_ptr& flow);

bool NothingRan(const absl::Status& result) {
  return !result.ok() && RunStateOf(result) == run_state::not_run;
}

absl::Duration FirstTokenTarget(const completion_state& flow) {
  const std::shared_ptr<const config_state> config = ServicesOf(flow).config();
  const auto route = config->routes.find(flow.request.route);
  if (route == config->routes.end()) return absl::Seconds(1);
  return route->second.first_token_target;
}

// Gives up what was begun before a pause past the lease.
void StartOver(const completion_ptr& flow) {
  RetryElsewhere(
      flow, MakeError(error_kind::lease_lost, "paused past the lease"), "");
}

// Engines that had no room come around again.
void TakeDecodeFallback(completion_state& flow) {
  if (flow.grant.decode_fallbacks.empty()) return;
  flow.grant.decode_fallbacks.push_back(flow.grant.decode);
  flow.grant.decode = flow.grant.decode_fallbacks.front();
  flow.grant.decode_fallbacks.erase(flow.grant.decode_fallbacks.begin());
}

void ImportAfterPause(const completion_ptr& flow) {
  RunAfter(flow->context.thread, kImportRetryPause, [flow] {
    if (flow->over || !MayUseEngines(*flow)) return;
    if (LeaseLost(*flow)) return StartOver(flow);
    Import(flow);
  });
}

// The result of a prefill outlives a transfer that is found stalled soon, so
// the transfer alone is repeated, once.
bool MayRepeatImport(const completion_state& flow, const absl::Status& result) {
  return KindOf(result) == error_kind::upstream_stalled &&
         !flow.import_repeated &&
         MonotonicNow() + kCancelTimeout < flow.prefill_expires;
}

// The engine must have let go of the first transfer before it is asked again.
void RepeatImport(const completion_ptr& flow) {
  flow->import_repeated = true;
  LogEvent(log_level::warn, "transfer_repeated",
           {{"request_id", QtText(flow->engine_request_id)},
            {"prefill", QtText(flow->grant.prefill.name)},
            {"decode", QtText(flow->grant.decode.name)},
            {"after_ms", absl::ToDoubleMilliseconds(MonotonicNow() -
                                                    flow->import_started)}});
  flow->call = CancelEngineRequest(
      *flow->context.client, flow->grant.decode.address, flow->grant.request_id,
      flow->grant.owner, [flow](const absl::StatusOr<bool>& cancelled) {
        flow->call = 0;
        if (flow->over) return;
        if (!cancelled.ok()) {
          return RetryElsewhere(flow, cancelled.status(),
                                flow->grant.decode.name);
        }
        ImportAfterPause(flow);
      });
}

absl::Status SilentImport() {
  return MakeError(error_kind::upstream_stalled, "the import made no progress");
}

// Calls `done` with whether the engine at `address` answers soon.
void ProbeEngine(const completion_ptr& flow, absl::string_view address,
                 std::function<void(bool answers)> done) {
  GetEngineLoad(
      *flow->context.client, address,
      [asked = MonotonicNow(), done = std::move(done)](const auto& load) {
        done(load.ok() && MonotonicNow() - asked < kCancelTimeout);
      });
}

// Handles an import that takes longer than its transfer should. If both engines
// answer other calls, the transfer alone has stalled. A silent engine may go on
// with it.
void CheckSlowImport(const completion_ptr& flow, http_client::call_id call) {
  if (flow->over || flow->call != call) return;
  if (LeaseLost(*flow)) return StartOver(flow);
  if (!MayRepeatImport(*flow, SilentImport())) return;
  const auto both_answer = [flow, call](bool answers) {
    if (flow->over || flow->call != call || !answers) return;
    if (!MayRepeatImport(*flow, SilentImport())) return;
    StopCall(*flow);
    RepeatImport(flow);
  };
  ProbeEngine(flow, flow->grant.prefill.address,
              [flow, call, both_answer](bool answers) {
                if (flow->over || flow->call != call || !answers) return;
                ProbeEngine(flow, flow->grant.decode.address, both_answer);
              });
}

void TakeImport(const completion_ptr& flow, const absl::Status& result) {
  if (LeaseLost(*flow)) return StartOver(flow);
  if (result.ok()) {
    LearnTransfer(flow->context.transfers, flow->prefill.pieces,
                  MonotonicNow() - flow->import_started);
    return ReadDecodeStream(flow);
  }
  if (MayRepeatImport(*flow, result)) return RepeatImport(flow);
  const bool refused = KindOf(result) == error_kind::upstream_refused;
  const bool no_room = refused && (result.message() == "no_slot" ||
                                   result.message() == "no_pieces");
  if (no_room && MonotonicNow() + kImportRetryPause < flow->prefill_expires) {
    TakeDecodeFallback(*flow);
    return ImportAfterPause(flow);
  }
  flow->outcome.stalled = IsStall(result);
  flow->outcome.decode_failed = !refused || flow->outcome.stalled;
  flow->outcome.transfer_stalled = flow->outcome.stalled;
  // An evicted result says nothing against either engine.
  const bool evicted = refused && result.message() == "evicted";
  CheckForCrash(flow, flow->grant.decode, result, [flow, result, evicted] {
    RetryElsewhere(flow, result, evicted ? "" : flow->grant.decode.name);
  });
}

void Import(const completion_ptr& flow) {
  SetStage(*flow, "transfer");
  flow->import_sent = true;
  flow->import_started = MonotonicNow();
  const absl::Duration timeout =
      flow->import_repeated
          ? kLongestTransfer
          : TransferTimeout(flow->context.transfers, flow->prefill.pieces);
  flow->call = StartImport(
      *flow->context.client, flow->grant.decode.address,
      MakeImportCall(flow->request, flow->writer, flow->grant, flow->prefill),
      kLongestSilence, [flow](const absl::StatusOr<std::string>& result) {
        flow->call = 0;
        if (!flow->over) TakeImport(flow, result.status());
      });
  RunAfter(flow->context.thread, timeout,
           [flow, call = flow->call] { CheckSlowImport(flow, call); });
}

void TakePrefill(const completion_ptr& flow,
                 absl::StatusOr<prefill_result> result) {
  if (LeaseLost(*flow)) return StartOver(flow);
  if (!result.ok()) {
    flow->outcome.prefill_failed = true;
    flow->outcome.stalled = IsStall(result.status());
    return CheckForCrash(flow, flow->grant.prefill, result.status(),
                         [flow, why = result.status()] {
                           RetryElsewhere(flow, why, flow->grant.prefill.name);
                         });
  }
  flow->outcome.prefilled = true;
  flow->outcome.prefill_tokens = result->prompt_tokens - result->cached_tokens;
  flow->outcome.prefill_time = MonotonicNow() - flow->prefill_started;
  flow->prefill = *std::move(result);
  flow->prefill_expires = MonotonicNow() + flow->prefill.expires_in;
  if (!MayUseEngines(*flow)) return;
  Import(flow);
}

void Prefill(const completion_ptr& flow) {
  SetStage(*flow, "prefill");
  const bool ran_before = flow->may_have_run;
  flow->may_have_run = true;
  flow->prefill_sent = true;
  flow->prefill_started = MonotonicNow();
  auto done = [flow, ran_before](absl::StatusOr<prefill_result> result) {
    flow->call = 0;
    if (NothingRan(result.status())) flow->may_have_run = ran_before;
    if (!flow->over) TakePrefill(flow, std::move(result));
  };
  flow->call = StartPrefill(
      *flow->context.client, flow->grant.prefill.address,
      MakePrefillCall(flow->request, flow->writer, flow->grant),
      flow->grant.predicted_first_token + kPrefillSlack, std::move(done));
}

void TakeGrant(const completion_ptr& flow,
               absl::StatusOr<placement_grant> grant) {
  ServicesOf(*flow).metrics.placed(ResultName(grant.status()),
                                   MonotonicNow() - flow->place_asked);
  if (flow->over) {
    if (grant.ok()) {
      flow->grant = *grant;
      FinishPlacement(*flow);
    }
    return;
  }
  if (!grant.ok()) return FailCompletion(*flow, grant.status());
  flow->grant = *std::move(grant);
  flow->placed = true;
  if (LeaseLost(*flow)) return StartOver(flow);
  if (!MayUseEngines(*flow)) return;
  Prefill(flow);
}

}  // namespace

void BeginAttempt(const completion_ptr& flow) {
  if (!IsServed(*flow) || !MayUseEngines(*flow)) return;
  if (!ServicesOf(*flow).may_act(ServicesOf(*flow).owner())) {
    return RunAfter(flow->context.thread, kLeasePause,
                    [flow] { BeginAttempt(flow); });
  }
  ++flow->attempts;
  flow->import_repeated = false;
  flow->engine_request_id =
      absl::StrCat(flow->request.request_id, ".", flow->attempts);
  SetStage(*flow, "placement");
  placement_request ask = MakePlacementRequest(flow->request, flow->writer,
                                               flow->engine_request_id);
  // A further attempt is late already; it gets the time of a first one.
  const absl::Time begun = flow->attempts == 1 ? flow->started : MonotonicNow();
  ask.first_token_due = begun + FirstTokenTarget(*flow);
  ask.avoid = flow->avoid;
  flow->place_asked = MonotonicNow();
  flow->attempt_tokens = 0;
  ServicesOf(*flow).place(ask, [flow](absl::StatusOr<placement_grant> grant) {
    TakeGrant(flow, std::move(grant));
  });
}

void RetryElsewhere(const completion_ptr& flow, const absl::Status& why,
                    absl::string_view engine) {
  LogEvent(log_level::warn, "attempt_failed",
           {{"request_id", QtText(flow->request.request_id)},
            {"stage", QtText(flow->stage)},
            {"upstream", QtText(engine)},
            {"kind", QtText(AnswerFor(KindOf(why)).name)},
            {"detail", QtText(why.message())}});
  CancelAtEngines(*flow);
  FinishPlacement(*flow);
  if (!IsServed(*flow)) return;
  if (!engine.empty()) flow->avoid.emplace_back(engine);
  // Who resumes a stream knows neither its prompt nor its earlier text.
  if (flow->attempts >= kMaxAttempts || flow->resumed) {
    return FailCompletion(*flow, why);
  }
  const auto pause =
      TakeRetry(flow->context, flow->request.route, flow->attempts);
  LogEvent(log_level::info, "retry",
           {{"request_id", QtText(flow->request.request_id)},
            {"route", QtText(flow->request.route)},
            {"result", pause ? "paused" : "budget used up"}});
  if (!pause) return FailCompletion(*flow, why);
  ServicesOf(*flow).metrics.retried(flow->request.route);
  RunAfter(flow->context.thread, *pause, [flow] { BeginAttempt(flow); });
}

}  // namespace anvilridge
