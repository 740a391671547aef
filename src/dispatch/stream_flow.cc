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
#include "base/qt_text.h"
#include "dispatch/decode_admission.h"
#include "dispatch/event_splitter.h"
#include "dispatch/kv_lease.h"
#include "dispatch/prompt_prefill.h"
#include "dispatch/request_sends.h"
#include "dispatch/stream_demand.h"
#include "dispatch/stream_limits.h"
#include "dispatch/stream_record.h"
#include "dispatch/stream_relay.h"
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
// Longest time for which two engines generate for one stream.
constexpr absl::Duration kMaxRunOverlap = absl::Milliseconds(300);

double ToMilliseconds(absl::Duration duration) {
  return static_cast<double>(absl::ToInt64Milliseconds(duration));
}

// A decode whose response is pending or being received.
struct run_in_progress {
  // Identifies the run within its flow.
  uint64_t number = 0;
  channel_client::call_id call = 0;
  fleet_upstream engine;
  absl::Time start;
};

// A decode that was asked to continue the stream of a silent one, and what has
// arrived of it so far.
struct successor_run {
  run_in_progress run;
  // Whether its engine has begun to generate.
  bool accepted = false;
  http_headers headers;
  std::string data;
  event_splitter splitter;
};

// Serves one streamed request.
class stream_flow : public std::enable_shared_from_this<stream_flow> {
 public:
  stream_flow(dispatch_state& state, routed_request routed)
      : state_(state),
        request_(std::move(routed.request)),
        config_(std::move(routed.config)),
        route_(*routed.route),
        service_(*routed.service),
        exchange_(std::move(routed.exchange)),
        relay_(
            exchange_, request_.resume_after, [this] { OnFirstEvent(); },
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
    const auto self = shared_from_this();
    exchange_->OnClosed([self] { self->OnCallerLeft(); });
    RunAfter(state_.context, ResponseDeadline(request_, route_) - now,
             [weak = weak_from_this()] {
               if (const auto flow = weak.lock()) flow->OnTimeout();
             });
    if (UsableUpstreams(state_, service_.name, {}, now).empty() &&
        !EarliestReturn(state_, service_.name, engine_stage::decode, now)) {
      return Refuse(MakeError(error_kind::no_upstream,
                              "no engine of the service is registered"));
    }
    if (static_cast<double>(request_.prompt_tokens) >
        kReservableMemoryShare *
            static_cast<double>(service_.engine.kv_tokens)) {
      return Refuse(
          MakeError(error_kind::overloaded,
                    "the prompt does not fit into an engine's KV memory"));
    }
    waiting_stream waiting = MakeWaitingStream();
    waiting.done = [self](absl::StatusOr<engine_reservation> reservation) {
      self->OnReservation(std::move(reservation));
    };
    AdmitOrQueueStream(state_, std::move(waiting), now);
  }

 private:
  // Returns the request's entry for the queue of streams that wait for engines,
  // without its callback.
  waiting_stream MakeWaitingStream() const {
    waiting_stream waiting;
    waiting.request_id = request_.id;
    waiting.service = service_.name;
    waiting.prompt = static_cast<double>(request_.prompt_tokens);
    waiting.generated = Generated();
    waiting.output = ExpectedRemaining(waiting.generated);
    if (route_.gap_target > absl::ZeroDuration()) {
      waiting.gap_target = route_.gap_target;
    }
    waiting.latest_on_time_start = LatestOnTimeStart(request_, route_);
    waiting.latest_start = LatestStart(request_, route_, waiting.output,
                                       state_.ledger.tokens_per_ms,
                                       ResponseDeadline(request_, route_));
    return waiting;
  }

  // Returns the number of tokens that the caller has received, including those
  // from before it resumed the stream.
  double Generated() const {
    const double tokens =
        static_cast<double>(service_.engine.tokens_per_event) *
        (events_before_resume_ + record_.events);
    return std::clamp(tokens, 0.0,
                      static_cast<double>(request_.max_output_tokens));
  }

  // Returns how many more tokens are expected after `generated` ones.
  double ExpectedRemaining(double generated) const {
    return EstimateRemaining(length_, generated,
                             static_cast<double>(request_.max_output_tokens));
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
              {"waited_ms", ToMilliseconds(waited)}});
    if (reservation->prefill) {
      SendPrefill(*reservation->prefill, /*replaces_other=*/false);
    } else {
      SendDecode();
    }
  }

  // ---- Prefill

  void SendPrefill(const fleet_upstream& engine, bool replaces_other) {
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
    CountSend(counted_, send_purpose::prefill);
    prefill_->Send(engine, relay_.ResumeAfter(), replaces_other);
  }

  bool IsPrefillInProgress() const {
    return prefill_ && prefill_->InProgress() > 0;
  }

  // Sends the request to another engine beside a prefill whose engine is
  // silent, if the budget allows it. The silent one may still answer first.
  void OnSilentPrefill(const silent_prefill& silent) {
    if (prefill_->InProgress() > 1 || call_ != 0) return;
    if (sends_ >= route_.attempts) return;
    const auto other = ChooseReplacementPrefill();
    if (!other && IsTried(decode_)) return;
    if (!ClaimSend(other ? send_purpose::prefill : send_purpose::decode,
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
    ++sends_;
    SendPrefill(*other, /*replaces_other=*/true);
  }

  void OnPrefilled(const prefill_result& result) {
    counted_.prefill_accepted = true;
    record_.prefill = result.duration;
    record_.prefill_tokens = result.prefill.tokens;
    lease_ = MakeLease(result.engine, result.prefill.handle,
                       service_.engine.handle_ttl);
    // A decode engine may be prefilling the prompt itself.
    if (call_ == 0) SendDecodeAfterPrefill();
  }

  void OnPrefillFailed(const prefill_failure& failure) {
    const send_outcome outcome = failure.outcome;
    if (outcome == send_outcome::unsent) {
      UncountSend(counted_, send_purpose::prefill);
      if (failure.replaces_other) --sends_;
    }
    // A refused prefill counts as an attempt. One that the engine may have
    // accepted counts as one when another is sent in its place.
    if (outcome == send_outcome::refused && !failure.replaces_other) ++sends_;
    if (!IsPrefillInProgress() && call_ == 0) ReplaceFailedPrefill(outcome);
  }

  // Sends the request to `decode_`. If that engine has rejected it, prefers
  // another one; it may also accept it by now.
  void SendDecodeAfterPrefill() {
    if (IsTried(decode_)) ReserveOtherEngine();
    if (!ClaimSend(send_purpose::decode, "refused")) {
      return Refuse(MakeError(error_kind::upstream_refused,
                              "no decode engine accepted the request"));
    }
    SendDecode();
  }

  bool IsTried(const fleet_upstream& decode) const {
    return std::find(tried_decodes_.begin(), tried_decodes_.end(), decode.id) !=
           tried_decodes_.end();
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
    if (sends_ >= route_.attempts || (!other && IsTried(decode_))) {
      return Refuse(MakeError(error_kind::upstream_refused,
                              "no engine prefilled the prompt"));
    }
    if (!ClaimSend(other ? send_purpose::prefill : send_purpose::decode,
                   reason)) {
      return Refuse(MakeError(error_kind::upstream_refused,
                              "the prefill failed, and the send budget allows "
                              "no other send",
                              run_state::not_run, kLostPrefillRetryAfter));
    }
    if (!other) return PrefillAtDecode();
    if (replaces_other) ++sends_;
    SendPrefill(*other, replaces_other);
  }

  // Lets a decode engine prefill the prompt itself, which delays its other
  // streams.
  void PrefillAtDecode() {
    const waiting_stream waiting = MakeWaitingStream();
    EndRun(state_.ledger, request_.id);
    if (const auto engine = ChooseLocalPrefillEngine(
            state_, waiting, tried_decodes_, MonotonicNow())) {
      decode_ = *engine;
    }
    ReserveDecodeMemory(decode_, waiting);
    SendDecode();
  }

  // Reserves memory at `engine`, and nowhere else.
  void ReserveDecodeMemory(const fleet_upstream& engine,
                           const waiting_stream& waiting) {
    ReserveRun(state_.ledger, request_.id, engine.id,
               waiting.prompt + waiting.generated, waiting.output,
               MonotonicNow());
  }

  // Returns a prefill engine that was not tried yet.
  std::optional<fleet_upstream> ChooseOtherPrefill() {
    return ChoosePrefillEngine(
        state_, service_.name, static_cast<double>(request_.prompt_tokens),
        decode_.failure_domain, prefill_->Tried(), MonotonicNow());
  }

  // Returns an engine that may replace a prefill which its engine may have
  // accepted, if the attempts allow another send.
  std::optional<fleet_upstream> ChooseReplacementPrefill() {
    if (sends_ + kSendsForReplacementPrefill > route_.attempts) {
      return std::nullopt;
    }
    return ChooseOtherPrefill();
  }

  // ---- Decode

  // Sends the request to `decode_`, or to another engine if that one has become
  // absent since it was reserved.
  void SendDecode() {
    const absl::Time now = MonotonicNow();
    if (IsAbsent(state_, decode_, now)) return PlaceAgain(now);
    send_parameters parameters = DecodeParameters(decode_, now);
    // Without a usable KV cache the decode engine prefills the prompt itself.
    if (!lease_.handle.empty() && now < lease_.usable_until) {
      parameters.kv_address = lease_.engine.address;
      parameters.kv_handle = std::exchange(lease_.handle, {});
    } else {
      ReleaseLease(state_, request_.id, lease_);
      AccountLocalPrefill(request_.id);
    }
    run_ = StartRun(parameters);
    BeginRun();
  }

  // Has another decode engine reserved in place of `decode_`.
  void PlaceAgain(absl::Time now) {
    LogEvent(
        log_level::info, "reserved_engine_absent",
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

  send_parameters DecodeParameters(const fleet_upstream& engine,
                                   absl::Time now) const {
    send_parameters parameters;
    parameters.upstream = engine;
    parameters.purpose = send_purpose::decode;
    parameters.time_left = TimeLeft(request_, route_, now);
    parameters.resume_after = relay_.ResumeAfter();
    return parameters;
  }

  // Returns the id under which the ledger holds the second of two sends that
  // are in progress.
  std::string SecondLedgerId() const { return request_.id + "/2"; }

  // Accounts in the ledger for a decode engine that prefills the prompt itself.
  void AccountLocalPrefill(absl::string_view ledger_id) {
    SetTokensToPrefill(
        state_.ledger, ledger_id,
        kDecodePrefillCost *
            (static_cast<double>(request_.prompt_tokens) + Generated()));
    NotifyLoadChange();
  }

  // Sends the request to a decode engine.
  run_in_progress StartRun(const send_parameters& parameters) {
    run_in_progress run;
    run.engine = parameters.upstream;
    run.start = MonotonicNow();
    run.number = ++last_send_number_;
    http_call call = state_.protocol.build_send_call(request_, parameters);
    call.connect_timeout = kUpstreamConnectTimeout;
    tried_decodes_.push_back(run.engine.id);
    ++sends_;
    CountSend(counted_, send_purpose::decode);
    const auto self = shared_from_this();
    http_handler handler;
    handler.on_headers = [self, number = run.number](
                             int status, const http_headers& headers) {
      self->OnHeaders(number, status, headers);
    };
    handler.on_data = [self, number = run.number](absl::string_view bytes) {
      self->OnData(number, bytes);
    };
    handler.on_done = [self, number = run.number](const http_result& result) {
      self->OnRunDone(number, result);
    };
    run.call = StartUpstreamCall(state_, run.engine, "decode", std::move(call),
                                 std::move(handler));
    return run;
  }

  // Prepares for the response of `run_`.
  void BeginRun() {
    call_ = run_->call;
    last_progress_ = MonotonicNow();
    relay_.BeginRun();
    run_events_ = 0;
    ScheduleStallCheck(StallTimeout(route_), kSilenceCheckInterval);
  }

  bool IsSuccessor(uint64_t number) const {
    return successor_ && successor_->run.number == number;
  }

  void OnHeaders(uint64_t number, int status, const http_headers& headers) {
    if (ended_) return;
    const response_info info = state_.protocol.parse_response(status, headers);
    const bool is_stream =
        status == kOk && info.authentic && relay_.IsPartOfStream(headers);
    if (IsSuccessor(number)) {
      return OnSuccessorHeaders(is_stream, status, headers);
    }
    if (is_stream && prefill_) prefill_->Cancel();
    relay_.OnHeaders(is_stream, headers);
  }

  void OnData(uint64_t number, absl::string_view bytes) {
    if (ended_) return;
    if (IsSuccessor(number)) return OnSuccessorData(bytes);
    if (relay_.OnData(bytes)) return;
    state_.client.Cancel(call_);
    http_result result;
    result.status = MakeError(
        error_kind::upstream_failed,
        absl::StrCat("the engine sent more than ", stream_relay::kMaxKeptBytes,
                     " bytes of an event or an error response without its end"),
        run_state::unknown);
    OnRunDone(number, result);
  }

  void OnFirstEvent() {
    const absl::Time now = MonotonicNow();
    state_.metrics->ObserveFirstEventTime(route_.name, now - request_.received);
    record_.first_event = now - request_.received;
    record_.decode_first = now - run_->start;
  }

  void OnEvent() {
    const absl::Time now = MonotonicNow();
    const double tokens = service_.engine.tokens_per_event;
    if (run_events_ > 0) {
      UpdateDecodeSpeed(state_.ledger, tokens, now - last_progress_);
    }
    const absl::Duration gap =
        now - (record_.events > 0 ? last_event_ : run_->start);
    if (gap > record_.longest_gap) {
      record_.longest_gap = gap;
      record_.longest_gap_end = now - request_.received;
    }
    last_event_ = now;
    last_progress_ = now;
    if (successor_) {
      // It may have run by now.
      may_have_run_ = true;
      DropSuccessor("progress");
    }
    ++run_events_;
    ++record_.events;
    const double generated = Generated();
    AdvanceRun(state_.ledger, request_.id,
               static_cast<double>(request_.prompt_tokens) + generated,
               ExpectedRemaining(generated), now);
  }

  // ---- A silent decode engine

  // Checks the current run after `delay`, and then at intervals that begin with
  // `next_delay` and grow while it is silent.
  void ScheduleStallCheck(absl::Duration delay, absl::Duration next_delay) {
    if (!route_.resumable) return;
    RunAfter(state_.context, delay,
             [weak = weak_from_this(), number = run_->number, next_delay] {
               const auto flow = weak.lock();
               if (!flow || flow->call_ == 0) return;
               if (flow->run_->number != number) return;
               flow->CheckForStall(next_delay);
             });
  }

  // Asks another engine to continue a stream whose engine is silent. The silent
  // one may be sound, so it keeps the stream until another one has accepted it.
  void CheckForStall(absl::Duration next_delay) {
    const absl::Duration timeout = StallTimeout(route_);
    const absl::Duration silence = MonotonicNow() - last_progress_;
    if (silence < timeout) {
      return ScheduleStallCheck(timeout - silence, kSilenceCheckInterval);
    }
    // An engine that stays silent has probably failed.
    const bool failed = silence >= timeout + kSilenceCheckInterval;
    LogEvent(log_level::warn, "stream_stalled",
             {{"request", QtText(request_.id)},
              {"upstream", QtText(decode_.id)},
              {"events", record_.events},
              {"asked", QtText(successor_ ? successor_->run.engine.id : "")},
              {"silent_ms", ToMilliseconds(silence)}});
    if (failed) ReportStall(state_, service_.name, decode_.id);
    if (!successor_ && MayResume()) {
      StartSuccessor(failed ? extra_send_need::replacement
                            : extra_send_need::alternative);
    }
    ScheduleStallCheck(next_delay, 2 * next_delay);
  }

  // Sends the request to another engine beside the silent one, if there is one
  // with capacity and the budget allows it.
  void StartSuccessor(extra_send_need need) {
    const absl::Time now = MonotonicNow();
    const waiting_stream waiting = MakeWaitingStream();
    const auto engine =
        ChooseLocalPrefillEngine(state_, waiting, tried_decodes_, now);
    if (!engine || !ClaimSend(send_purpose::decode, "stalled", need)) return;
    ReserveRun(state_.ledger, SecondLedgerId(), engine->id,
               waiting.prompt + waiting.generated, waiting.output, now);
    AccountLocalPrefill(SecondLedgerId());
    successor_.emplace().run = StartRun(DecodeParameters(*engine, now));
  }

  void OnSuccessorHeaders(bool is_stream, int status,
                          const http_headers& headers) {
    if (!is_stream) {
      http_result result;
      result.http_status = status;
      result.headers = headers;
      return OnSuccessorDone(result);
    }
    successor_->accepted = true;
    successor_->headers = headers;
    // Two engines may not go on with one stream for longer.
    RunAfter(state_.context, kMaxRunOverlap,
             [weak = weak_from_this(), number = successor_->run.number] {
               const auto flow = weak.lock();
               if (!flow || flow->ended_ || !flow->IsSuccessor(number)) return;
               flow->ContinueWithSuccessor("accepted");
             });
  }

  // Keeps the successor's data until it has sent a whole event.
  void OnSuccessorData(absl::string_view bytes) {
    bool has_event = false;
    absl::StrAppend(&successor_->data, bytes);
    SplitEvents(successor_->splitter, bytes,
                [&has_event](absl::string_view, std::optional<int64_t>) {
                  has_event = true;
                });
    if (has_event || successor_->data.size() > stream_relay::kMaxKeptBytes) {
      ContinueWithSuccessor("event");
    }
  }

  // Continues the stream at the successor and cancels the silent run, which
  // would otherwise generate the same events.
  void ContinueWithSuccessor(absl::string_view reason) {
    LogEvent(log_level::info, "stream_moved",
             {{"request", QtText(request_.id)},
              {"from", QtText(decode_.id)},
              {"to", QtText(successor_->run.engine.id)},
              {"reason", QtText(reason)},
              {"events", record_.events}});
    if (call_ != 0) {
      state_.client.Cancel(std::exchange(call_, 0));
      may_have_run_ = true;
    }
    successor_run next = *std::exchange(successor_, std::nullopt);
    run_ = std::move(next.run);
    decode_ = run_->engine;
    EndRun(state_.ledger, SecondLedgerId());
    ReserveDecodeMemory(decode_, MakeWaitingStream());
    AccountLocalPrefill(request_.id);
    BeginRun();
    if (!next.accepted) return;
    relay_.OnHeaders(true, next.headers);
    if (!next.data.empty()) OnData(run_->number, next.data);
  }

  // Stays at the engine that was silent, and cancels the successor if it is
  // still in progress.
  void DropSuccessor(absl::string_view reason) {
    LogEvent(log_level::info, "stream_kept",
             {{"request", QtText(request_.id)},
              {"upstream", QtText(decode_.id)},
              {"not_moved_to", QtText(successor_->run.engine.id)},
              {"reason", QtText(reason)},
              {"events", record_.events}});
    state_.client.Cancel(successor_->run.call);
    successor_.reset();
    EndRun(state_.ledger, SecondLedgerId());
    NotifyLoadChange();
  }

  // Handles a successor that has failed or rejected the request.
  void OnSuccessorDone(const http_result& result) {
    const response_info info =
        state_.protocol.parse_response(result.http_status, result.headers);
    const send_outcome outcome = ClassifySend(result, info);
    state_.metrics->CountSend(service_.name, SendOutcomeName(outcome));
    ReportSend(state_, successor_->run.engine, outcome, info.other_instance);
    if (outcome == send_outcome::unsent) UncountDecode();
    if (MayHaveRun(outcome)) may_have_run_ = true;
    DropSuccessor(SendOutcomeName(outcome));
  }

  // ---- End of a decode

  void OnRunDone(uint64_t number, const http_result& result) {
    if (ended_) return;
    if (IsSuccessor(number)) return OnSuccessorDone(result);
    call_ = 0;
    const response_info info =
        state_.protocol.parse_response(result.http_status, result.headers);
    send_outcome outcome = ClassifySend(result, info);
    const bool complete =
        outcome == send_outcome::answered && relay_.IsRunComplete();
    if (outcome == send_outcome::answered && result.http_status == kOk &&
        !complete) {
      outcome = send_outcome::unknown;
    }
    state_.metrics->CountSend(service_.name, SendOutcomeName(outcome));
    ReportSend(state_, decode_, outcome, info.other_instance);
    if (complete) return Complete();
    LogEvent(log_level::warn, "decode_failed",
             {{"request", QtText(request_.id)},
              {"upstream", QtText(decode_.id)},
              {"fate", QtText(SendOutcomeName(outcome))},
              {"status", result.http_status},
              {"why", QtText(result.status.message())},
              {"events", record_.events},
              {"ms", ToMilliseconds(MonotonicNow() - run_->start)}});
    if (outcome == send_outcome::unsent) UncountDecode();
    if (successor_) {
      if (MayHaveRun(outcome)) may_have_run_ = true;
      return ContinueWithSuccessor("failed");
    }
    // The prefill may still be answered.
    if (IsPrefillInProgress() && !MayHaveRun(outcome)) return run_.reset();
    HandleFailure(outcome, result);
  }

  static bool MayHaveRun(send_outcome outcome) {
    return outcome == send_outcome::unknown ||
           outcome == send_outcome::answered;
  }

  // Returns whether the stream may be resumed at another engine, apart from the
  // budget.
  bool MayResume() const {
    return route_.resumable && sends_ < route_.attempts && relay_.IsResumable();
  }

  // After a failed decode, sends the request to another engine if that is
  // allowed, and otherwise ends it.
  void HandleFailure(send_outcome outcome, const http_result& result) {
    if (outcome == send_outcome::unsent && !relay_.HeadersSent() &&
        !may_have_run_) {
      if (ReserveOtherEngine() && ClaimSend(send_purpose::decode, "unsent")) {
        return SendDecode();
      }
    } else if (outcome == send_outcome::refused && !relay_.HeadersSent() &&
               !may_have_run_) {
      if (sends_ < route_.attempts && ReserveOtherEngine() &&
          ClaimSend(send_purpose::decode, "refused")) {
        return SendDecode();
      }
    } else if (MayResume() && ReserveOtherEngine()) {
      if (ClaimSend(send_purpose::decode, SendOutcomeName(outcome))) {
        return SendDecode();
      }
    }
    if (MayHaveRun(outcome)) may_have_run_ = true;
    if (relay_.HeadersSent()) return Abort(unfinished_reason::upstream_failed);
    if (outcome == send_outcome::answered) return Deliver(result);
    if (may_have_run_) {
      ReportUnfinished(unfinished_reason::upstream_failed);
      return Refuse(MakeError(error_kind::upstream_failed,
                              "no complete response from the decode engine",
                              run_state::unknown));
    }
    Refuse(DecodesRefusedError(state_, service_.name, MonotonicNow()));
  }

  // Reserves a decode engine that was not tried yet. Returns false if none has
  // capacity.
  bool ReserveOtherEngine() {
    const waiting_stream waiting = MakeWaitingStream();
    const auto other = ChooseLocalPrefillEngine(state_, waiting, tried_decodes_,
                                                MonotonicNow());
    if (!other) return false;
    decode_ = *other;
    ReserveDecodeMemory(decode_, waiting);
    NotifyLoadChange();
    return true;
  }

  // Takes the next send from the budget if it is an extra one. Every send but
  // the first one of a request passes here.
  bool ClaimSend(send_purpose purpose, absl::string_view reason,
                 extra_send_need need = extra_send_need::replacement) {
    if (!NeedsBudget(counted_, purpose)) return true;
    if (!TakeBudgetedSend(state_, service_.name, request_.id, reason, need)) {
      return false;
    }
    ++counted_.budgeted;
    return true;
  }

  // Takes back a decode that reached no engine.
  void UncountDecode() {
    --sends_;
    UncountSend(counted_, send_purpose::decode);
  }

  // ---- End of the request

  void Complete() {
    relay_.End();
    RecordOutputLength(state_, request_, service_, record_.events);
    LogAndEnd("request_answered", kOk);
  }

  void Deliver(const http_result& result) {
    exchange_->Respond(result.http_status, result.headers, relay_.ErrorBody());
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
    unfinished.upstream = run_->engine.id;
    unfinished.call_in_progress = call_ != 0;
    unfinished.silence = MonotonicNow() - last_progress_;
    unfinished.sends = sends_;
    unfinished.events = record_.events;
    anvilridge::ReportUnfinished(state_, request_, route_, service_,
                                 unfinished);
  }

  void Refuse(const absl::Status& error) {
    if (ended_) return;
    const auto exchange = exchange_;
    Release();
    RefuseRequest(state_, *exchange, request_, route_.name, error);
  }

  void OnTimeout() {
    if (ended_) return;
    if (relay_.HeadersSent()) return Abort(unfinished_reason::time_limit);
    if (run_) {
      ReportUnfinished(unfinished_reason::time_limit);
      return Refuse(MakeError(error_kind::upstream_stalled,
                              "no event within the time limit",
                              run_state::unknown));
    }
    Refuse(MakeError(error_kind::overloaded,
                     IsPrefillInProgress()
                         ? "no prefill within the time limit"
                         : "no engine had capacity within the time limit"));
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
    QJsonObject fields{{"request", QtText(request_.id)},
                       {"route", QtText(route_.name)},
                       {"upstream", QtText(run_ ? run_->engine.id : "")},
                       {"status", http_status},
                       {"sends", sends_},
                       {"config", static_cast<double>(config_->version)},
                       {"ms", ToMilliseconds(elapsed)}};
    const QJsonObject record = LogFields(record_);
    for (auto field = record.begin(); field != record.end(); ++field) {
      fields[field.key()] = field.value();
    }
    LogEvent(log_level::info, event, fields);
    Release();
  }

  // Ends the request and releases its engines, calls and exchange.
  void Release() {
    if (std::exchange(ended_, true)) return;
    RemoveFromQueues(state_, request_.id);
    if (call_ != 0) state_.client.Cancel(std::exchange(call_, 0));
    if (successor_) state_.client.Cancel(successor_->run.call);
    if (prefill_) prefill_->Cancel();
    ReleaseLease(state_, request_.id, lease_);
    EndRun(state_.ledger, request_.id);
    EndRun(state_.ledger, SecondLedgerId());
    relay_.Close();
    exchange_.reset();
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
  const fleet_request request_;
  // Owns `route_` and `service_`.
  const std::shared_ptr<const fleet_config> config_;
  const fleet_route& route_;
  const fleet_service& service_;
  std::shared_ptr<inbound_exchange> exchange_;
  stream_relay relay_;

  // Estimated distribution of the output length.
  length_distribution length_;
  // The call of `run_`; 0 if it is not in progress.
  channel_client::call_id call_ = 0;
  // Prefills of the prompt at prefill engines; set once one was sent.
  std::optional<prompt_prefill> prefill_;
  kv_lease lease_;
  // The engine that is reserved for the decode, and then the one of `run_`.
  fleet_upstream decode_;
  // Ids of the decode engines that the request was sent to.
  std::vector<std::string> tried_decodes_;
  // Sends that count as attempts.
  int sends_ = 0;
  // Sends as the budget counts them.
  request_sends counted_;
  // Whether an engine may have run the request.
  bool may_have_run_ = false;
  // The decode that generates the stream.
  std::optional<run_in_progress> run_;
  std::optional<successor_run> successor_;
  uint64_t last_send_number_ = 0;
  // Time of the last event that was passed on.
  absl::Time last_event_;
  // Time of the last event of the current run, or of its start.
  absl::Time last_progress_;
  // Events of the current run.
  int run_events_ = 0;
  bool ended_ = false;
  // Number of events that the caller had received before it sent this request.
  int events_before_resume_ = 0;
  stream_record record_;
};

}  // namespace

void StartStream(dispatch_state& state, routed_request routed) {
  std::make_shared<stream_flow>(state, std::move(routed))->Start();
}

}  // namespace anvilridge
