#include "requests/completion_flow.h"

#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "log/decision_log.h"
#include "requests/answer_writer.h"
#include "requests/attempt_calls.h"
#include "requests/decode_stream.h"
#include "requests/request_adoption.h"
#include "upstreams/engine_client.h"

namespace anvilridge {
namespace {

// Longest time past its prediction that a prefill may take.
constexpr absl::Duration kPrefillSlack = absl::Seconds(3);
constexpr absl::Duration kImportTimeout = absl::Seconds(2);
// Pause before an import that found no free place is ordered again.
constexpr absl::Duration kImportRetryPause = absl::Milliseconds(20);
// Attempts over different engines before the request is given up.
constexpr int kMaxAttempts = 3;
// Pause before it is asked again whether this daemon has a valid lease.
constexpr absl::Duration kLeasePause = absl::Milliseconds(50);
// How long a started answer is kept for a caller that may come back.
constexpr absl::Duration kResumeGrace = absl::Seconds(2);

QString Text(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<int>(text.size()));
}

bool NothingRan(const absl::Status& result) {
  return !result.ok() && RunStateOf(result) == run_state::not_run;
}

// An engine that gives up a transfer by itself says so in its refusal.
bool IsStall(const absl::Status& result) {
  if (result.ok()) return false;
  const error_kind kind = KindOf(result);
  return kind == error_kind::upstream_stalled ||
         (kind == error_kind::upstream_refused &&
          result.message() == "stalled");
}

// The stages of one completion on its traffic thread. Keeps itself alive
// through the callbacks it waits for.
class completion_flow : public std::enable_shared_from_this<completion_flow> {
 public:
  completion_flow(flow_context& context, completion_request request,
                  std::shared_ptr<inbound_exchange> exchange)
      : context_(context), request_(std::move(request)) {
    writer_.exchange = std::move(exchange);
    writer_.request_id = request_.request_id;
    writer_.model = request_.body.model;
    writer_.stream = request_.body.stream;
  }

  void Start() {
    started_ = MonotonicNow();
    WatchCaller();
    Admit([self = shared_from_this()] {
      EarnRetries(self->context_.retries, self->request_.route,
                  self->Services().retries);
      self->Place();
    });
  }

  void Resume(const resume_token& token, const placed_engine& engine) {
    started_ = MonotonicNow();
    writer_.next_index = token.index + 1;
    engine_request_id_ = token.request_id;
    grant_.decode = engine;
    grant_.owner = Services().owner();
    resumed_ = true;
    WatchCaller();
    Admit([self = shared_from_this()] { self->TakeOver(); });
  }

 private:
  const request_services& Services() const { return *context_.services; }

  active_request Active(absl::string_view stage) const {
    return {request_.request_id, request_.caller.team, request_.route,
            std::string(stage),  grant_.decode.name,   started_,
            engine_request_id_};
  }

  void Admit(std::function<void()> next) {
    Services().admit(Active("admission"),
                     [self = shared_from_this(),
                      next = std::move(next)](const absl::Status& admitted) {
                       if (!admitted.ok()) return self->Fail(admitted);
                       self->admitted_ = true;
                       if (self->over_) return self->Leave();
                       next();
                     });
  }

  void WatchCaller() {
    writer_.exchange->OnClosed([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->CallerLeft();
    });
  }

  void CallerLeft() {
    if (over_) return;
    const bool may_resume = writer_.stream && writer_.next_index > 0;
    LogEvent(log_level::info, "caller_left",
             {{"request_id", Text(request_.request_id)},
              {"stage", Text(stage_)},
              {"resumable", may_resume}});
    writer_.ended = true;
    if (!may_resume) return End(absl::OkStatus());
    // The engine goes on for a short while, so that the caller can come back
    // through another daemon, which then owns the request.
    StopCall();
    RunAfter(context_.thread, kResumeGrace,
             [self = shared_from_this()] { self->End(absl::OkStatus()); });
  }

  void Place() {
    if (over_) return;
    if (!Services().may_act(Services().owner())) {
      return RunAfter(context_.thread, kLeasePause,
                      [self = shared_from_this()] { self->Place(); });
    }
    ++attempts_;
    engine_request_id_ = absl::StrCat(request_.request_id, ".", attempts_);
    SetStage("placement");
    place_request ask = MakePlaceRequest(request_, writer_, engine_request_id_);
    // A further attempt is late already; it gets the time of a first one.
    const absl::Time begun = attempts_ == 1 ? started_ : MonotonicNow();
    ask.first_token_due = begun + FirstTokenTarget();
    ask.avoid = avoid_;
    Services().place(
        ask, [self = shared_from_this()](absl::StatusOr<place_grant> grant) {
          self->TakeGrant(std::move(grant));
        });
  }

  absl::Duration FirstTokenTarget() const {
    const std::shared_ptr<const config_state> config = Services().config();
    const auto route = config->routes.find(request_.route);
    if (route == config->routes.end()) return absl::Seconds(1);
    return route->second.first_token_target;
  }

  void TakeGrant(absl::StatusOr<place_grant> grant) {
    if (over_) {
      if (grant.ok()) {
        grant_ = *grant;
        FinishPlacement();
      }
      return;
    }
    if (!grant.ok()) return Fail(grant.status());
    grant_ = *std::move(grant);
    placed_ = true;
    if (LeaseLost()) return StartOver();
    Prefill();
  }

  bool LeaseLost() const { return !Services().may_act(grant_.owner); }

  // Gives up what was begun before a pause past the lease.
  void StartOver() {
    RetryElsewhere(MakeError(error_kind::lease_lost, "paused past the lease"),
                   "");
  }

  void Prefill() {
    SetStage("prefill");
    const bool ran_before = may_have_run_;
    may_have_run_ = true;
    prefill_sent_ = true;
    prefill_started_ = MonotonicNow();
    auto done = [self = shared_from_this(),
                 ran_before](absl::StatusOr<prefill_result> result) {
      self->call_ = 0;
      if (NothingRan(result.status())) self->may_have_run_ = ran_before;
      if (!self->over_) self->TakePrefill(std::move(result));
    };
    call_ = StartPrefill(*context_.client, grant_.prefill.address,
                         MakePrefillCall(request_, writer_, grant_),
                         grant_.predicted_first_token + kPrefillSlack,
                         std::move(done));
  }

  void TakePrefill(absl::StatusOr<prefill_result> result) {
    if (LeaseLost()) return StartOver();
    if (!result.ok()) {
      outcome_.prefill_failed = true;
      outcome_.stalled = IsStall(result.status());
      return RetryElsewhere(result.status(), grant_.prefill.name);
    }
    outcome_.prefilled = true;
    outcome_.prefill_tokens = result->prompt_tokens - result->cached_tokens;
    outcome_.prefill_time = MonotonicNow() - prefill_started_;
    prefill_ = *std::move(result);
    prefill_expires_ = MonotonicNow() + prefill_.expires_in;
    Import();
  }

  void Import() {
    SetStage("transfer");
    import_sent_ = true;
    call_ = StartImport(
        *context_.client, grant_.decode.address,
        MakeImportCall(request_, writer_, grant_, prefill_), kImportTimeout,
        [self = shared_from_this()](const absl::StatusOr<std::string>& result) {
          self->call_ = 0;
          if (!self->over_) self->TakeImport(result.status());
        });
  }

  void TakeImport(const absl::Status& result) {
    if (LeaseLost()) return StartOver();
    if (result.ok()) return Decode();
    const bool refused = KindOf(result) == error_kind::upstream_refused;
    const bool no_room = refused && (result.message() == "no_slot" ||
                                     result.message() == "no_pieces");
    if (no_room && MonotonicNow() + kImportRetryPause < prefill_expires_) {
      TakeDecodeFallback();
      RunAfter(context_.thread, kImportRetryPause, [self = shared_from_this()] {
        if (!self->over_) self->Import();
      });
      return;
    }
    outcome_.stalled = IsStall(result);
    outcome_.decode_failed = !refused || outcome_.stalled;
    outcome_.transfer_stalled = outcome_.stalled;
    // An evicted result says nothing against either engine.
    const bool evicted = refused && result.message() == "evicted";
    RetryElsewhere(result, evicted ? "" : grant_.decode.name);
  }

  decode_source Source() const {
    return {engine_request_id_, grant_.decode, grant_.owner};
  }

  // Engines that had no room come around again.
  void TakeDecodeFallback() {
    if (grant_.decode_fallbacks.empty()) return;
    grant_.decode_fallbacks.push_back(grant_.decode);
    grant_.decode = grant_.decode_fallbacks.front();
    grant_.decode_fallbacks.erase(grant_.decode_fallbacks.begin());
  }

  void Decode() {
    SetStage("decode");
    outcome_.decode_started = true;
    decode_listener listener;
    listener.on_token = [self = shared_from_this()](int index,
                                                    const std::string& token) {
      self->TakeToken(index, token);
    };
    listener.on_end = [self = shared_from_this()](const absl::Status& ended) {
      self->EndStream(ended);
    };
    stream_ = std::make_shared<decode_stream>(context_, Source(),
                                              std::move(listener));
    stream_->Attach(writer_.next_index);
  }

  void TakeToken(int index, const std::string& token) {
    if (LeaseLost()) return Readopt();
    const resume_token place{engine_request_id_, grant_.decode.name, index};
    const std::string event_id = FormatResumeToken(place, request_.caller.team,
                                                   Services().deployment_key);
    const absl::Status written = WriteToken(writer_, index, token, event_id);
    if (!written.ok()) Fail(written);
  }

  void EndStream(const absl::Status& ended) {
    stream_ = nullptr;
    if (over_) return;
    if (ended.ok()) {
      outcome_.decode_finished = true;
      FinishAnswer(writer_);
      return End(absl::OkStatus());
    }
    if (KindOf(ended) == error_kind::resume_fenced) return FailFenced(ended);
    if (LeaseLost()) return Readopt();
    const bool refused = KindOf(ended) == error_kind::upstream_refused;
    if (refused && ended.message() == "not_owner") {
      return FailFenced(MakeError(error_kind::resume_fenced,
                                  "another daemon has taken this stream over"));
    }
    if (refused && resumed_) {
      return Fail(
          MakeError(error_kind::resume_gone, "the engine has let it go"));
    }
    // The stream has reported its stalls as they came.
    outcome_.decode_failed = !refused && !IsStall(ended);
    RetryElsewhere(ended, grant_.decode.name);
  }

  // The request belongs to a later reader and is not ours to cancel.
  void FailFenced(const absl::Status& error) {
    fenced_ = true;
    Fail(error);
  }

  // A pause ended the incarnation under which the stream was read. It goes on
  // under the new one, unless another daemon has taken it over meanwhile.
  void Readopt() {
    StopCall();
    // Once the caller has left, what it may come back for is cancelled later.
    if (over_ || writer_.ended) return;
    const std::string old_owner = grant_.owner;
    const std::string new_owner = Services().owner();
    if (!Services().may_act(new_owner)) {
      return RunAfter(context_.thread, kLeasePause,
                      [self = shared_from_this()] { self->Readopt(); });
    }
    SetStage("adoption");
    grant_.owner = new_owner;
    AdoptFrom(context_, Source(), old_owner,
              [self = shared_from_this(), old_owner](const absl::Status& done) {
                self->TakeAdoption(done, old_owner);
              });
  }

  void TakeAdoption(const absl::Status& adopted, const std::string& old_owner) {
    if (KindOf(adopted) == error_kind::resume_fenced && !adopted.ok()) {
      return FailFenced(adopted);
    }
    LogEvent(log_level::info, "request_adopted",
             {{"request_id", Text(engine_request_id_)},
              {"owner", Text(grant_.owner)},
              {"from", Text(old_owner)},
              {"ok", adopted.ok()}});
    if (writer_.ended && !over_) return;
    if (adopted.ok() && !over_) return Decode();
    // The engine may hold it for either owner.
    CancelAs(old_owner, grant_.decode);
    CancelAs(grant_.owner, grant_.decode);
    if (!over_) RetryElsewhere(adopted, grant_.decode.name);
  }

  // Frees what the attempt holds and starts over at other engines; after the
  // first token, from the text that the caller has. `engine` is not asked
  // again; "" for none to avoid.
  void RetryElsewhere(const absl::Status& why, const std::string& engine) {
    LogEvent(log_level::warn, "attempt_failed",
             {{"request_id", Text(request_.request_id)},
              {"stage", Text(stage_)},
              {"upstream", Text(engine)},
              {"kind", Text(AnswerFor(KindOf(why)).name)},
              {"detail", Text(why.message())}});
    CancelAtEngines();
    FinishPlacement();
    if (!engine.empty()) avoid_.push_back(engine);
    // Who resumes a stream knows neither its prompt nor its earlier text.
    if (attempts_ >= kMaxAttempts || resumed_) return Fail(why);
    const auto pause = TakeRetry(context_, request_.route, attempts_);
    LogEvent(log_level::info, "retry",
             {{"request_id", Text(request_.request_id)},
              {"route", Text(request_.route)},
              {"result", pause ? "paused" : "budget used up"}});
    if (!pause) return Fail(why);
    RunAfter(context_.thread, *pause,
             [self = shared_from_this()] { self->Place(); });
  }

  // A resumed stream belongs to the daemon that held it before, until the
  // engine hands it over.
  void TakeOver() {
    SetStage("resume");
    import_sent_ = true;
    AdoptFromAny(context_, Source(),
                 [self = shared_from_this()](const absl::Status& adopted) {
                   if (self->over_) return self->CancelAtEngines();
                   if (!adopted.ok()) return self->Fail(adopted);
                   self->Decode();
                 });
  }

  void SetStage(absl::string_view stage) {
    stage_ = std::string(stage);
    Services().update(Active(stage));
  }

  void CancelAtEngines() {
    StopCall();
    if (prefill_sent_ && !outcome_.decode_finished) {
      Cancel(grant_.prefill);
    }
    if (import_sent_ && !outcome_.decode_finished && !fenced_) {
      Cancel(grant_.decode);
    }
    prefill_sent_ = false;
    import_sent_ = false;
  }

  void Cancel(const placed_engine& engine) { CancelAs(grant_.owner, engine); }

  void CancelAs(const std::string& owner, const placed_engine& engine) {
    Services().cancel({engine_request_id_, owner, engine.name, engine.address});
  }

  void StopCall() {
    if (stream_) stream_->Detach();
    stream_ = nullptr;
    if (call_ != 0) context_.client->Cancel(call_);
    call_ = 0;
  }

  void FinishPlacement() {
    if (grant_.decode.name.empty()) return;
    outcome_.request_id = engine_request_id_;
    outcome_.prefill = grant_.prefill;
    outcome_.decode = grant_.decode;
    Services().finish(outcome_);
    outcome_ = place_outcome();
    placed_ = false;
  }

  void Fail(const absl::Status& error) {
    if (over_) return;
    absl::Status shown = error;
    // Once an engine was asked, it can't be said that nothing ran.
    if (may_have_run_ && RunStateOf(error) == run_state::not_run) {
      shown = MakeError(KindOf(error), error.message(), run_state::unknown,
                        RetryAfterOf(error));
    }
    FailAnswer(writer_, shown);
    End(shown);
  }

  void End(const absl::Status& why) {
    if (over_) return;
    over_ = true;
    if (!placed_ && attempts_ > 0) Services().abandon(engine_request_id_);
    CancelAtEngines();
    if (placed_) FinishPlacement();
    if (admitted_) Leave();
    LogEvent(log_level::info, "request_ended",
             {{"request_id", Text(request_.request_id)},
              {"stage", Text(stage_)},
              {"tokens", writer_.next_index},
              {"result", why.ok() ? "ok" : Text(AnswerFor(KindOf(why)).name)},
              {"ms", absl::ToDoubleMilliseconds(MonotonicNow() - started_)}});
  }

  void Leave() { Services().leave(request_.request_id); }

  flow_context& context_;
  completion_request request_;
  answer_writer writer_;
  absl::Time started_;
  std::string stage_;
  std::string engine_request_id_;
  place_grant grant_;
  place_outcome outcome_;
  prefill_result prefill_;
  absl::Time prefill_started_;
  absl::Time prefill_expires_;
  std::shared_ptr<decode_stream> stream_;
  std::vector<std::string> avoid_;
  http_client::call_id call_ = 0;
  int attempts_ = 0;
  bool admitted_ = false;
  bool placed_ = false;
  bool resumed_ = false;
  bool fenced_ = false;
  // Whether an engine may have worked for this request.
  bool may_have_run_ = false;
  // Whether the current attempt may hold memory at its engines.
  bool prefill_sent_ = false;
  bool import_sent_ = false;
  bool over_ = false;
};

}  // namespace

void StartCompletion(flow_context& context, completion_request request,
                     std::shared_ptr<inbound_exchange> exchange) {
  std::make_shared<completion_flow>(context, std::move(request),
                                    std::move(exchange))
      ->Start();
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
  const placed_engine engine{upstream->second.name, upstream->second.address,
                             upstream->second.failure_domain};
  std::make_shared<completion_flow>(context, std::move(request),
                                    std::move(exchange))
      ->Resume(token, engine);
}

}  // namespace anvilridge
