#include "dispatch/stream_flow.h"

#include <QJsonObject>
#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/milliseconds.h"
#include "base/qt_text.h"
#include "dispatch/decode_admission.h"
#include "dispatch/decode_runs.h"
#include "dispatch/kv_lease.h"
#include "dispatch/prompt_prefill.h"
#include "dispatch/quarantine_control.h"
#include "dispatch/request_sends.h"
#include "dispatch/send_claim.h"
#include "dispatch/stop_admission.h"
#include "dispatch/stream_demand.h"
#include "dispatch/stream_limits.h"
#include "dispatch/stream_record.h"
#include "dispatch/stream_relay.h"
#include "dispatch/stream_size.h"
#include "dispatch/unfinished_request.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// Number of attempts that must be left to replace a prefill that failed or got
// lost: its replacement is one, and so is the decode after it.
constexpr int kSendsForReplacementPrefill = 2;
constexpr int kOk = 200;
// Time after which callers may retry a request whose prefill failed: the next
// daemon that they reach has a part of the budget of its own.
constexpr absl::Duration kLostPrefillRetryAfter = absl::Milliseconds(250);

// Serves one streamed request.
class stream_flow : public std::enable_shared_from_this<stream_flow> {
 public:
  stream_flow(dispatch_state& state, routed_request routed)
      : state_(state),
        routed_(std::move(routed)),
        request_(routed_.request),
        route_(*routed_.route),
        service_(*routed_.service),
        relay_(
            routed_.exchange, request_.resume_after, [this] { OnFirstEvent(); },
            [this] { OnEvent(); }) {}

  void Start() {
    // Event ids count from 1, so the id is the number of events that the caller
    // has received. Ids that aren't numbers are ignored.
    if (!absl::SimpleAtoi(request_.resume_after, &events_before_resume_)) {
      events_before_resume_ = 0;
    }
    RecordRequest(state_.budget, service_.name, state_.settings.budget,
                  MonotonicNow());
    const absl::Time now = MonotonicNow();
    length_ = EstimateLength(state_.lengths[service_.name],
                             static_cast<double>(request_.output_estimate),
                             static_cast<double>(request_.max_output_tokens));
    RecordDemand(state_, request_, service_, ExpectedRemaining(0));
    decodes_.emplace(state_, routed_, sends_, relay_, weak_from_this(),
                     MakeDecodeListener());
    const auto self = shared_from_this();
    open_.emplace(
        state_.open_requests,
        open_request{request_.id, route_.name, /*streams=*/true,
                     request_.received, ResponseDeadline(request_, route_),
                     [weak = weak_from_this()] {
                       const auto flow = weak.lock();
                       if (flow) flow->OnStop();
                     },
                     [weak = weak_from_this()] {
                       const auto flow = weak.lock();
                       if (flow) flow->EndIfQuarantined();
                     }});
    routed_.exchange->OnClosed([self] { self->OnCallerLeft(); });
    RunAfter(state_.context, FirstEventDeadline(request_, route_) - now,
             [weak = weak_from_this()] {
               const auto flow = weak.lock();
               if (flow) flow->OnFirstEventDeadline();
             });
    RunAfter(state_.context, ResponseDeadline(request_, route_) - now,
             [weak = weak_from_this()] {
               if (const auto flow = weak.lock()) flow->OnTimeout();
             });
    is_trial_ = BeginTrial(state_, engine_stage::decode, request_, now);
    if (EndIfQuarantined()) return;
    const absl::Status servable =
        CheckServable(state_, request_, service_, now);
    if (!servable.ok()) return Refuse(servable);
    waiting_stream waiting = MakeWaitingStream();
    if (!EndsBeforeStop(state_, waiting.deadline, waiting.longest_run, now)) {
      return Refuse(Stopping());
    }
    waiting.done = [self](absl::StatusOr<engine_reservation> reservation) {
      self->OnReservation(std::move(reservation));
    };
    AdmitOrQueueStream(state_, std::move(waiting), now);
  }

 private:
  waiting_stream MakeWaitingStream() const {
    return anvilridge::MakeWaitingStream(state_, routed_, length_, Events());
  }

  // Returns the number of events that the caller has received, including those
  // from before it resumed the stream.
  int Events() const { return events_before_resume_ + record_.events; }

  double Generated() const { return TokensOf(routed_, Events()); }

  double ExpectedRemaining(double generated) const {
    return ExpectedTokens(routed_, length_, generated);
  }

  void OnReservation(absl::StatusOr<engine_reservation> reservation) {
    const absl::Duration waited = MonotonicNow() - request_.received;
    state_.metrics->ObserveWaitTime(waited);
    if (ended_) return;
    if (!reservation.ok()) return Refuse(reservation.status());
    decode_ = reservation->decode;
    LogEvent(log_level::info, "engines_chosen",
             {{"request", QtText(request_.id)},
              {"route", QtText(route_.name)},
              {"decode", QtText(decode_.id)},
              {"prefill",
               QtText(reservation->prefill ? reservation->prefill->id : "")},
              {"prompt", static_cast<double>(request_.prompt_tokens)},
              {"output", ExpectedRemaining(Generated())},
              {"resume_after", QtText(request_.resume_after)},
              {"parts", QtText(PromptPartNames(request_.shared_parts))},
              {"waited_ms", ToMilliseconds(waited)}});
    if (reservation->prefill && MayPrefill()) {
      SendPrefill(*reservation->prefill, /*replaces_other=*/false);
    } else {
      SendDecode();
    }
  }

  // ---- Prefill

  void SendPrefill(const fleet_upstream& engine, bool replaces_other) {
    if (EndIfQuarantined()) return;
    if (!prefill_) {
      prefill_listener listener;
      listener.on_completed = [this](const prefill_result& result) {
        OnPrefilled(result);
      };
      listener.on_failed = [this](const prefill_failure& failure) {
        OnPrefillFailed(failure);
      };
      listener.on_silent = [this](const silent_prefill& silent) {
        OnSilentPrefill(silent);
      };
      prefill_.emplace(state_, request_, route_, weak_from_this(),
                       std::move(listener));
    }
    CountSend(sends_, send_purpose::prefill);
    prefill_->Send(engine, relay_.ResumeAfter(), replaces_other);
  }

  // Returns whether the prompt may be sent to prefill engines, or else must be
  // prefilled by the decode engine.
  bool MayPrefill() {
    return !IsQuarantined(state_, engine_stage::prefill, request_) ||
           BeginTrial(state_, engine_stage::prefill, request_, MonotonicNow());
  }

  bool IsPrefillInProgress() const {
    return prefill_ && prefill_->InProgress() > 0;
  }

  // Sends the request to another engine beside a prefill whose engine is
  // silent, if the budget allows it. The silent one may still answer first.
  void OnSilentPrefill(const silent_prefill& silent) {
    if (prefill_->InProgress() > 1 || decodes_->InProgress()) return;
    if (sends_.attempts >= route_.attempts) return;
    const auto other = ChooseReplacementPrefill();
    if (!other && IsTried(decode_)) return;
    if (!ClaimSend(state_, routed_, sends_,
                   other ? send_purpose::prefill : send_purpose::decode,
                   "prefill_slow",
                   silent.failed ? extra_send_need::replacement
                                 : extra_send_need::alternative)) {
      return;
    }
    LogEvent(log_level::warn, "prefill_stalled",
             {{"request", QtText(request_.id)},
              {"upstream", QtText(silent.engine.id)},
              {"also_sent_to", QtText(other ? other->id : decode_.id)},
              {"silent_ms", ToMilliseconds(silent.silence)}});
    ReportStall(state_, silent.engine);
    if (!other) return PrefillAtDecode();
    ++sends_.attempts;
    SendPrefill(*other, /*replaces_other=*/true);
  }

  void OnPrefilled(const prefill_result& result) {
    sends_.prefill_accepted = true;
    record_.prefill = result.duration;
    record_.prefill_tokens = result.prefill.tokens;
    lease_ = MakeLease(result.engine, result.prefill.handle,
                       service_.engine.handle_ttl);
    // A decode engine may be prefilling the prompt itself.
    if (!decodes_->InProgress()) SendDecodeAfterPrefill();
  }

  void OnPrefillFailed(const prefill_failure& failure) {
    const send_outcome outcome = failure.outcome;
    if (outcome == send_outcome::unsent) {
      UncountSend(sends_, send_purpose::prefill);
      if (failure.replaces_other) --sends_.attempts;
    }
    // A refused prefill counts as an attempt. One that the engine may have
    // accepted counts as one when another is sent in its place.
    if (outcome == send_outcome::refused && !failure.replaces_other) {
      ++sends_.attempts;
    }
    if (IsPrefillInProgress() || decodes_->InProgress()) return;
    ReplaceFailedPrefill(outcome);
  }

  // Sends the request to `decode_`. If that engine has rejected it, prefers
  // another one; it may also accept it by now.
  void SendDecodeAfterPrefill() {
    if (IsTried(decode_)) ReserveOtherEngine();
    if (!ClaimSend(state_, routed_, sends_, send_purpose::decode, "refused")) {
      return Refuse(MakeError(error_kind::upstream_refused,
                              "no decode engine accepted the request"));
    }
    SendDecode();
  }

  bool IsTried(const fleet_upstream& decode) const {
    const std::vector<std::string>& tried = decodes_->Tried();
    return std::find(tried.begin(), tried.end(), decode.id) != tried.end();
  }

  // Sends the request on after a prefill that ended with `outcome`: to another
  // prefill engine, or else to a decode engine.
  void ReplaceFailedPrefill(send_outcome outcome) {
    std::optional<fleet_upstream> other;
    bool replaces_other = false;
    absl::string_view reason = "prefill_lost";
    switch (outcome) {
      case send_outcome::unsent:
        other = ChooseOtherPrefill();
        reason = "prefill_unsent";
        break;
      case send_outcome::refused:
        other = ChooseOtherPrefill();
        reason = "prefill_refused";
        break;
      case send_outcome::answered:
        reason = "prefill_failed";
        [[fallthrough]];
      case send_outcome::unknown:
        other = ChooseReplacementPrefill();
        replaces_other = other.has_value();
        break;
    }
    if (sends_.attempts >= route_.attempts || (!other && IsTried(decode_))) {
      return Refuse(MakeError(
          error_kind::upstream_refused,
          absl::StrCat("no engine prefilled the prompt within ",
                       sends_.attempts, " of ", route_.attempts, " attempts")));
    }
    if (!ClaimSend(state_, routed_, sends_,
                   other ? send_purpose::prefill : send_purpose::decode,
                   reason)) {
      return Refuse(MakeError(error_kind::upstream_refused,
                              "the prefill failed, and the send budget allows "
                              "no other send",
                              run_state::not_run, kLostPrefillRetryAfter));
    }
    if (!other) return PrefillAtDecode();
    if (replaces_other) ++sends_.attempts;
    SendPrefill(*other, replaces_other);
  }

  // Lets a decode engine prefill the prompt itself, which delays its other
  // streams.
  void PrefillAtDecode() {
    const waiting_stream waiting = MakeWaitingStream();
    EndRun(state_.ledger, request_.id);
    const auto engine = ChooseLocalPrefillEngine(
        state_, waiting, decodes_->Tried(), MonotonicNow());
    Reserve(engine ? *engine : decode_);
    SendDecode();
  }

  // Returns a prefill engine that was not tried yet.
  std::optional<fleet_upstream> ChooseOtherPrefill() {
    if (IsQuarantined(state_, engine_stage::prefill, request_)) {
      return std::nullopt;
    }
    return ChoosePrefillEngine(
        state_, service_.name, static_cast<double>(request_.prompt_tokens),
        decode_.failure_domain, prefill_->Tried(), MonotonicNow());
  }

  // Returns an engine that may replace a prefill which its engine may have
  // accepted, if the attempts allow another send.
  std::optional<fleet_upstream> ChooseReplacementPrefill() {
    if (sends_.attempts + kSendsForReplacementPrefill > route_.attempts) {
      return std::nullopt;
    }
    return ChooseOtherPrefill();
  }

  // ---- Decode

  // Sends the request to `decode_`, or to another engine if that one has become
  // unavailable since it was reserved, as a prefill can take long.
  void SendDecode() {
    if (EndIfQuarantined()) return;
    const absl::Time now = MonotonicNow();
    if (!MayBegin(now)) return Refuse(Stopping());
    if (!IsStillAvailable(state_, decode_, now)) return PlaceAgain(now);
    decodes_->Send(decode_, lease_);
  }

  // Returns whether the stream can still be begun. One that may have run goes
  // on in any case, since its caller can't be told otherwise.
  bool MayBegin(absl::Time now) const {
    if (relay_.HeadersSent() || decodes_->MayHaveRun()) return true;
    const waiting_stream stream = MakeWaitingStream();
    return EndsBeforeStop(state_, stream.deadline, stream.longest_run, now);
  }

  // Returns the error with which the stream is refused in a stop.
  absl::Status Stopping() const {
    return StoppingError(state_, ResponseDeadline(request_, route_),
                         MonotonicNow());
  }

  // Has another decode engine reserved in place of `decode_`.
  void PlaceAgain(absl::Time now) {
    LogEvent(
        log_level::info, "reserved_engine_unavailable",
        {{"request", QtText(request_.id)}, {"upstream", QtText(decode_.id)}});
    EndRun(state_.ledger, request_.id);
    waiting_stream waiting = MakeWaitingStream();
    waiting.done = [self = shared_from_this()](
                       const absl::StatusOr<engine_reservation>& reservation) {
      if (self->ended_) return;
      if (!reservation.ok()) return self->Refuse(reservation.status());
      self->decode_ = reservation->decode;
      self->SendDecode();
    };
    AdmitOrQueueFirst(state_, std::move(waiting), now);
  }

  decode_listener MakeDecodeListener() {
    decode_listener listener;
    listener.rest = [this] { return MakeWaitingStream(); };
    listener.on_accepted = [this] {
      if (prefill_) prefill_->Cancel();
    };
    listener.on_completed = [this] { Complete(); };
    listener.on_failed = [this](const broken_send& broken,
                                const http_result& result) {
      OnDecodeFailed(broken, result);
    };
    return listener;
  }

  void OnFirstEvent() {
    const absl::Time now = MonotonicNow();
    state_.metrics->ObserveFirstEventTime(route_.name, now - request_.received);
    record_.first_event = now - request_.received;
    record_.decode_first = now - decodes_->StartTime();
  }

  void OnEvent() {
    const absl::Time now = MonotonicNow();
    const absl::Duration gap =
        now - (record_.events > 0 ? last_event_ : decodes_->StartTime());
    if (gap > record_.longest_gap) {
      record_.longest_gap = gap;
      record_.longest_gap_end = now - request_.received;
    }
    last_event_ = now;
    decodes_->OnEvent();
    ++record_.events;
    const double generated = Generated();
    AdvanceRun(state_.ledger, request_.id,
               static_cast<double>(request_.prompt_tokens) + generated,
               ExpectedRemaining(generated), now);
  }

  // After a failed decode, sends the request to its engine once more or to
  // another one if that is allowed, and otherwise ends it.
  void OnDecodeFailed(const broken_send& broken, const http_result& result) {
    const send_outcome outcome = broken.outcome;
    const bool returns = decodes_->MayReturn(broken);
    if (lease_.handle.empty()) lease_ = decodes_->TakeLease(returns);
    if (EndIfQuarantined()) return;
    const bool not_run = !decodes_->MayHaveRun();
    // The prefill may still be answered.
    if (IsPrefillInProgress() && not_run) return;
    if (returns && !IsQuarantined(state_, engine_stage::decode, request_) &&
        ClaimSend(state_, routed_, sends_, send_purpose::decode, "returned")) {
      Reserve(broken.engine);
      return SendDecode();
    }
    if (MaySendAgain(outcome) && ReserveOtherEngine() &&
        ClaimSend(state_, routed_, sends_, send_purpose::decode,
                  SendOutcomeName(outcome))) {
      return SendDecode();
    }
    if (relay_.HeadersSent()) return Abort(unfinished_reason::upstream_failed);
    if (outcome == send_outcome::answered) return Deliver(result);
    if (not_run) {
      return Refuse(DecodesRefusedError(state_, service_.name, MonotonicNow()));
    }
    ReportUnfinished(unfinished_reason::upstream_failed);
    Refuse(MakeError(error_kind::upstream_failed,
                     "no complete response from the decode engine",
                     run_state::unknown));
  }

  // Returns whether the request may be sent to another engine after a decode
  // that ended with `outcome`, apart from the budget.
  bool MaySendAgain(send_outcome outcome) const {
    if (IsQuarantined(state_, engine_stage::decode, request_)) return false;
    if (relay_.HeadersSent() || decodes_->MayHaveRun()) {
      return decodes_->MayResume();
    }
    // An engine that was not reached counts as no attempt.
    return outcome == send_outcome::unsent || sends_.attempts < route_.attempts;
  }

  // Reserves a decode engine that was not tried yet. Returns false if none has
  // capacity.
  bool ReserveOtherEngine() {
    const absl::Time now = MonotonicNow();
    const auto other =
        ChooseOtherDecodeEngine(state_, MakeWaitingStream(), decodes_->Tried(),
                                IsUsable(lease_, now), now);
    if (other) Reserve(*other);
    return other.has_value();
  }

  // Reserves `engine`, which may be `decode_`, for the rest of the stream.
  void Reserve(const fleet_upstream& engine) {
    decode_ = engine;
    ReserveDecode(state_, request_.id, decode_, MakeWaitingStream(),
                  MonotonicNow());
    NotifyLoadChange();
  }

  // ---- End of the request

  void Complete() {
    relay_.End();
    RecordOutputLength(state_, request_, service_, record_.events);
    complete_ = true;
    LogAndEnd("request_answered", kOk);
  }

  void Deliver(const http_result& result) {
    routed_.exchange->Respond(result.http_status, result.headers,
                              relay_.ErrorBody());
    LogAndEnd("request_answered", result.http_status);
  }

  void Abort(unfinished_reason reason) {
    ReportUnfinished(reason);
    relay_.Abort();
    LogAndEnd("stream_broken", 0);
  }

  void ReportUnfinished(unfinished_reason reason) {
    unfinished_request unfinished;
    unfinished.reason = reason;
    unfinished.upstream = decodes_->UpstreamId();
    unfinished.call_in_progress = decodes_->InProgress();
    unfinished.silence = decodes_->Silence();
    unfinished.sends = sends_.attempts;
    unfinished.events = record_.events;
    anvilridge::ReportUnfinished(state_, request_, route_, service_,
                                 unfinished);
  }

  void Refuse(const absl::Status& error) {
    if (ended_) return;
    const auto exchange = routed_.exchange;
    Release();
    RefuseRequest(state_, *exchange, request_, route_.name, error);
  }

  // Ends a stream without a first event because its caller does not wait any
  // longer. A stream that has begun goes on: its caller can't be told anything
  // more, and the next event may still arrive in time.
  void OnFirstEventDeadline() {
    if (ended_ || relay_.HeadersSent()) return;
    const bool has_time_left = FirstEventDeadline(request_, route_) <
                               ResponseDeadline(request_, route_);
    EndWithoutEvent(has_time_left ? unfinished_reason::caller_patience
                                  : unfinished_reason::time_limit);
  }

  void OnTimeout() {
    if (ended_) return;
    if (!relay_.HeadersSent()) return OnFirstEventDeadline();
    Abort(unfinished_reason::time_limit);
  }

  void EndWithoutEvent(unfinished_reason reason) {
    const std::string limit = absl::FormatDuration(
        FirstEventDeadline(request_, route_) - request_.received);
    if (decodes_->InProgress() || decodes_->MayHaveRun()) {
      ReportUnfinished(reason);
      return Refuse(MakeError(error_kind::upstream_stalled,
                              absl::StrCat("no event within ", limit),
                              run_state::unknown));
    }
    if (IsPrefillInProgress()) {
      return Refuse(
          MakeError(error_kind::overloaded,
                    absl::StrCat("no prefill engine answered within ", limit),
                    run_state::not_run, kLostPrefillRetryAfter));
    }
    Refuse(MakeError(error_kind::overloaded,
                     absl::StrCat("no engine had capacity within ", limit)));
  }

  // Ends a stream without a first event because this daemon stops.
  void OnStop() {
    if (ended_ || relay_.HeadersSent()) return;
    if (!decodes_->InProgress() && !decodes_->MayHaveRun()) {
      return Refuse(Stopping());
    }
    ReportUnfinished(unfinished_reason::stop);
    Refuse(MakeError(error_kind::upstream_stalled,
                     "no event before this daemon stops", run_state::unknown));
  }

  // Ends the request, unless the caller has received events, if engines crash
  // on a part of its prompt. A trial is sent to one decode engine.
  // @return whether it has ended.
  bool EndIfQuarantined() {
    if (ended_) return true;
    if (relay_.HeadersSent()) return false;
    if (!IsQuarantined(state_, engine_stage::decode, request_)) return false;
    if (is_trial_ && !decodes_->MayHaveRun()) return false;
    const bool may_have_run = decodes_->InProgress() || decodes_->MayHaveRun();
    if (may_have_run) ReportUnfinished(unfinished_reason::quarantined);
    Refuse(QuarantineError(state_, request_, may_have_run, route_.resumable,
                           MonotonicNow()));
    return true;
  }

  void OnCallerLeft() {
    if (ended_) return;
    LogAndEnd("caller_left", 0);
  }

  // Logs the end of the request as `event`, counts it and releases its
  // resources.
  void LogAndEnd(absl::string_view event, int http_status) {
    const absl::Duration elapsed = MonotonicNow() - request_.received;
    state_.metrics->CountRequest(route_.name, http_status, elapsed);
    RecordRun();
    QJsonObject fields{{"request", QtText(request_.id)},
                       {"route", QtText(route_.name)},
                       {"upstream", QtText(decodes_->UpstreamId())},
                       {"status", http_status},
                       {"sends", sends_.attempts},
                       {"config", static_cast<double>(routed_.config->version)},
                       {"ms", ToMilliseconds(elapsed)}};
    const QJsonObject record = LogFields(record_);
    for (auto field = record.begin(); field != record.end(); ++field) {
      fields[field.key()] = field.value();
    }
    LogEvent(log_level::info, event, fields);
    Release();
  }

  // Records the pace of the stream, and of one that was cut also its length.
  void RecordRun() {
    if (!complete_) {
      RecordCutOutput(state_, request_, service_, record_.events, length_);
    }
    RecordTokenTime(state_, service_, record_.events,
                    last_event_ - (request_.received + record_.first_event));
  }

  // Ends the request and releases its engines, calls and exchange.
  void Release() {
    if (std::exchange(ended_, true)) return;
    open_->Close();
    RemoveFromQueues(state_, request_.id);
    decodes_->Cancel();
    if (prefill_) prefill_->Cancel();
    ReleaseLease(state_, request_.id, lease_);
    EndRun(state_.ledger, request_.id);
    relay_.Close();
    routed_.exchange.reset();
    NotifyLoadChange();
    // Admits streams to the released capacity. This runs later from the event
    // loop, because this function may be called while a stream is being
    // admitted.
    RunAfter(state_.context, absl::ZeroDuration(),
             [&state = state_] { AdmitWaiting(state, MonotonicNow()); });
  }

  void NotifyLoadChange() {
    if (state_.on_ledger_change) state_.on_ledger_change();
  }

  dispatch_state& state_;
  routed_request routed_;
  const fleet_request& request_;
  const fleet_route& route_;
  const fleet_service& service_;
  stream_relay relay_;
  // Set by `Start`.
  std::optional<open_request_entry> open_;

  // Estimated distribution of the output length.
  length_distribution length_;
  // Sends of the request to engines.
  request_sends sends_;
  // Prefills of the prompt at prefill engines; set once one was sent.
  std::optional<prompt_prefill> prefill_;
  kv_lease lease_;
  // The decode engine that is reserved, or was reserved last.
  fleet_upstream decode_;
  // Set by `Start`.
  std::optional<decode_runs> decodes_;
  // Time of the last event that was passed on.
  absl::Time last_event_;
  bool ended_ = false;
  // Whether the whole stream was passed on.
  bool complete_ = false;
  // Whether the request is sent although its prompt is quarantined.
  bool is_trial_ = false;
  // Number of events that the caller had received before it sent this request.
  int events_before_resume_ = 0;
  stream_record record_;
};

}  // namespace

void StartStream(dispatch_state& state, routed_request routed) {
  std::make_shared<stream_flow>(state, std::move(routed))->Start();
}

}  // namespace anvilridge
