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
#include "dispatch/kv_lease.h"
#include "dispatch/stream_demand.h"
#include "dispatch/stream_limits.h"
#include "dispatch/stream_record.h"
#include "dispatch/stream_relay.h"
#include "dispatch/unfinished_request.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// Number of sends that must be left to replace a prefill that failed or got
// lost: it counts as a send because it may have run, and the decode after its
// replacement is one.
constexpr int kSendsForReplacementPrefill = 2;
constexpr int kOk = 200;

double ToMilliseconds(absl::Duration duration) {
  return static_cast<double>(absl::ToInt64Milliseconds(duration));
}

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
    if (UsableUpstreams(state_, service_.name, {}, now).empty()) {
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
      SendPrefill(*reservation->prefill);
    } else {
      SendDecode();
    }
  }

  // ---- Prefill

  void SendPrefill(const fleet_upstream& engine) {
    prefill_ = engine;
    const absl::Time now = MonotonicNow();
    prefill_start_ = now;
    send_parameters parameters;
    parameters.upstream = engine;
    parameters.purpose = send_purpose::prefill;
    parameters.time_left = TimeLeft(request_, route_, now);
    parameters.resume_after = relay_.ResumeAfter();
    http_call call = state_.protocol.build_send_call(request_, parameters);
    call.connect_timeout = kUpstreamConnectTimeout;
    const double backlog = PrefillBacklog(state_.ledger, engine.id, now);
    const double tokens = static_cast<double>(request_.prompt_tokens);
    call.timeout =
        PrefillTimeout(tokens, backlog, state_.ledger.prefill_tokens_per_ms);
    prefill_backlog_ = backlog;
    BeginPrefill(state_.ledger, request_.id, engine.id, tokens);
    NotifyLoadChange();
    const auto self = shared_from_this();
    http_handler handler;
    handler.on_done = [self](const http_result& result) {
      self->OnPrefillDone(result);
    };
    call_ = state_.client.Start(std::move(call), std::move(handler));
  }

  void OnPrefillDone(const http_result& result) {
    call_ = 0;
    EndPrefill(state_.ledger, request_.id);
    if (ended_) return;
    const response_info info =
        state_.protocol.parse_response(result.http_status, result.headers);
    absl::StatusOr<completed_prefill> prefill =
        absl::UnavailableError("no response");
    const send_outcome outcome = ClassifyPrefill(result, info, prefill);
    state_.metrics->CountSend(service_.name, SendOutcomeName(outcome));
    ReportSend(state_, *prefill_, outcome, info.other_instance);
    const absl::Duration elapsed = MonotonicNow() - prefill_start_;
    record_.prefill = elapsed;
    if (prefill.ok()) {
      record_.prefill_tokens = prefill->tokens;
      UpdatePrefillSpeed(
          state_.ledger,
          static_cast<double>(prefill->tokens) + prefill_backlog_, elapsed);
      lease_ =
          MakeLease(*prefill_, prefill->handle, service_.engine.handle_ttl);
      return SendDecode();
    }
    LogEvent(log_level::warn, "prefill_failed",
             {{"request", QtText(request_.id)},
              {"upstream", QtText(prefill_->id)},
              {"fate", QtText(SendOutcomeName(outcome))},
              {"status", result.http_status},
              {"why", QtText(result.status.message())},
              {"ms", ToMilliseconds(elapsed)}});
    // A refused prefill counts as a send. One that the engine accepted, or may
    // have accepted, is not counted here but when its replacement is sent.
    if (outcome == send_outcome::refused) {
      ++sends_;
      if (sends_ >= route_.attempts || !ConsumeBudget("prefill_refused")) {
        return Refuse(MakeError(error_kind::upstream_refused,
                                "the prefill engine refused the request"));
      }
    }
    if (SendOtherPrefill(outcome)) return;
    PrefillAtDecode();
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
    ReserveDecodeMemory(waiting);
    SendDecode();
  }

  // Reserves memory at the chosen decode engine.
  void ReserveDecodeMemory(const waiting_stream& waiting) {
    ReserveRun(state_.ledger, request_.id, decode_.id,
               waiting.prompt + waiting.generated, waiting.output,
               MonotonicNow());
  }

  // Sends the request to a prefill engine that was not tried yet, after a
  // prefill that ended with `outcome`. Returns false if there is no such
  // engine, or if the attempts or the budget don't allow the send.
  bool SendOtherPrefill(send_outcome outcome) {
    tried_prefills_.push_back(prefill_->id);
    const auto other = ChoosePrefillEngine(
        state_, service_.name, static_cast<double>(request_.prompt_tokens),
        decode_.failure_domain, tried_prefills_, MonotonicNow());
    if (!other) return false;
    const bool failed = outcome == send_outcome::answered;
    if (failed || outcome == send_outcome::unknown) {
      if (sends_ + kSendsForReplacementPrefill > route_.attempts ||
          !ConsumeBudget(failed ? "prefill_failed" : "prefill_lost")) {
        return false;
      }
      ++sends_;
    }
    SendPrefill(*other);
    return true;
  }

  // Returns the outcome of a prefill, and sets `prefill` to its result if there
  // is a response with status 200.
  send_outcome ClassifyPrefill(
      const http_result& result, const response_info& info,
      absl::StatusOr<completed_prefill>& prefill) const {
    if (result.status.ok() && result.http_status == kOk) {
      prefill = state_.protocol.parse_prefill(result.body);
      return prefill.ok() ? send_outcome::answered : send_outcome::unknown;
    }
    return ClassifySend(result, info);
  }

  // ---- Decode

  void SendDecode() {
    const absl::Time now = MonotonicNow();
    send_parameters parameters;
    parameters.upstream = decode_;
    parameters.purpose = send_purpose::decode;
    parameters.time_left = TimeLeft(request_, route_, now);
    parameters.resume_after = relay_.ResumeAfter();
    // Without a usable KV cache the decode engine prefills the prompt itself.
    if (!lease_.handle.empty() && now < lease_.usable_until) {
      parameters.kv_address = lease_.engine.address;
      parameters.kv_handle = std::exchange(lease_.handle, {});
    } else {
      ReleaseLease(state_, request_.id, lease_);
      SetTokensToPrefill(
          state_.ledger, request_.id,
          kDecodePrefillCost *
              (static_cast<double>(request_.prompt_tokens) + Generated()));
      NotifyLoadChange();
    }
    http_call call = state_.protocol.build_send_call(request_, parameters);
    call.connect_timeout = kUpstreamConnectTimeout;
    tried_decodes_.push_back(decode_.id);
    ++sends_;
    decode_start_ = now;
    last_event_ = now;
    relay_.BeginRun();
    run_events_ = 0;
    const auto self = shared_from_this();
    http_handler handler;
    handler.on_headers = [self](int status, const http_headers& headers) {
      self->OnHeaders(status, headers);
    };
    handler.on_data = [self](absl::string_view bytes) { self->OnData(bytes); };
    handler.on_done = [self](const http_result& result) {
      self->OnDecodeDone(result);
    };
    call_ = state_.client.Start(std::move(call), std::move(handler));
    ScheduleCheck();
  }

  void OnHeaders(int status, const http_headers& headers) {
    if (ended_) return;
    const response_info info = state_.protocol.parse_response(status, headers);
    relay_.OnHeaders(status == kOk && info.authentic, headers);
  }

  void OnData(absl::string_view bytes) {
    if (ended_ || relay_.OnData(bytes)) return;
    state_.client.Cancel(call_);
    http_result result;
    result.status = MakeError(
        error_kind::upstream_failed,
        absl::StrCat("the engine sent more than ", stream_relay::kMaxKeptBytes,
                     " bytes of an event or an error response without its end"),
        run_state::unknown);
    OnDecodeDone(result);
  }

  void OnFirstEvent() {
    const absl::Time now = MonotonicNow();
    state_.metrics->ObserveFirstEventTime(route_.name, now - request_.received);
    record_.first_event = now - request_.received;
    record_.decode_first = now - decode_start_;
  }

  void OnEvent() {
    const absl::Time now = MonotonicNow();
    const double tokens = service_.engine.tokens_per_event;
    if (run_events_ > 0) {
      UpdateDecodeSpeed(state_.ledger, tokens, now - last_event_);
    }
    if (now - last_event_ > record_.longest_gap) {
      record_.longest_gap = now - last_event_;
      record_.longest_gap_end = now - request_.received;
    }
    last_event_ = now;
    ++run_events_;
    ++record_.events;
    const double generated = Generated();
    AdvanceRun(state_.ledger, request_.id,
               static_cast<double>(request_.prompt_tokens) + generated,
               ExpectedRemaining(generated), now);
  }

  // Schedules a check for the time at which the next event is overdue.
  void ScheduleCheck() {
    if (!route_.resumable) return;
    const absl::Time due = last_event_ + StallTimeout(route_, run_events_);
    RunAfter(state_.context, due - MonotonicNow(),
             [weak = weak_from_this(), call = call_] {
               const auto flow = weak.lock();
               if (!flow || flow->ended_ || flow->call_ != call) return;
               flow->CheckForStall();
             });
  }

  void CheckForStall() {
    const absl::Duration silence = MonotonicNow() - last_event_;
    if (silence < StallTimeout(route_, run_events_)) return ScheduleCheck();
    // Without another engine that has capacity, the request stays at this one,
    // which may still respond.
    if (!MayResume() || !ReserveOtherEngine()) return;
    LogEvent(log_level::warn, "stream_stalled",
             {{"request", QtText(request_.id)},
              {"upstream", QtText(tried_decodes_.back())},
              {"events", record_.events},
              {"silent_ms", ToMilliseconds(silence)}});
    ReportStall(state_, service_.name, tried_decodes_.back());
    state_.client.Cancel(call_);
    call_ = 0;
    ResumeElsewhere("stalled");
  }

  void OnDecodeDone(const http_result& result) {
    call_ = 0;
    if (ended_) return;
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
              {"ms", ToMilliseconds(MonotonicNow() - decode_start_)}});
    if (outcome == send_outcome::unsent) --sends_;
    HandleFailure(outcome, result);
  }

  // Returns whether the stream may be resumed at another engine, apart from the
  // budget.
  bool MayResume() const {
    return route_.resumable && sends_ < route_.attempts && relay_.IsResumable();
  }

  // After a failed decode, sends the request to another engine if that is
  // allowed, and otherwise ends it.
  void HandleFailure(send_outcome outcome, const http_result& result) {
    const bool may_have_run =
        outcome == send_outcome::unknown || outcome == send_outcome::answered;
    if (outcome == send_outcome::unsent && !relay_.HeadersSent() &&
        !may_have_run_) {
      // Nothing was sent, so this counts neither as a send nor against the
      // budget.
      if (ReserveOtherEngine()) return SendDecode();
    } else if (outcome == send_outcome::refused && !relay_.HeadersSent() &&
               !may_have_run_) {
      if (sends_ < route_.attempts && ReserveOtherEngine() &&
          ConsumeBudget("refused")) {
        return SendDecode();
      }
    } else if (MayResume() && ReserveOtherEngine()) {
      if (ConsumeBudget(SendOutcomeName(outcome))) return SendDecode();
    }
    may_have_run_ = may_have_run_ || may_have_run;
    if (relay_.HeadersSent()) return Abort(unfinished_reason::upstream_failed);
    if (outcome == send_outcome::answered) return Deliver(result);
    if (may_have_run_) {
      ReportUnfinished(unfinished_reason::upstream_failed);
      return Refuse(MakeError(error_kind::upstream_failed,
                              "no complete response from the decode engine",
                              run_state::unknown));
    }
    Refuse(MakeError(error_kind::upstream_refused,
                     "no decode engine accepted the request"));
  }

  // Sends the request to the decode engine reserved for it after the previous
  // one stalled, if the budget allows that, and otherwise ends it.
  void ResumeElsewhere(absl::string_view reason) {
    may_have_run_ = true;
    if (ConsumeBudget(reason)) return SendDecode();
    if (relay_.HeadersSent()) return Abort(unfinished_reason::silence);
    ReportUnfinished(unfinished_reason::silence);
    Refuse(MakeError(error_kind::upstream_stalled,
                     "the decode engine made no progress", run_state::unknown));
  }

  // Reserves a decode engine that was not tried yet. Returns false if none has
  // capacity.
  bool ReserveOtherEngine() {
    const waiting_stream waiting = MakeWaitingStream();
    const auto other = ChooseLocalPrefillEngine(state_, waiting, tried_decodes_,
                                                MonotonicNow());
    if (!other) return false;
    decode_ = *other;
    ReserveDecodeMemory(waiting);
    NotifyLoadChange();
    return true;
  }

  bool ConsumeBudget(absl::string_view reason) {
    return TakeBudgetedSend(state_, service_.name, request_.id, reason);
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
    if (!tried_decodes_.empty()) unfinished.upstream = tried_decodes_.back();
    unfinished.call_in_progress = call_ != 0;
    unfinished.silence = MonotonicNow() - last_event_;
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
    if (sends_ > 0) ReportUnfinished(unfinished_reason::time_limit);
    Refuse(sends_ > 0
               ? MakeError(error_kind::upstream_stalled,
                           "no event within the time limit", run_state::unknown)
               : MakeError(error_kind::overloaded,
                           "no engine had capacity within the time limit"));
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
    QJsonObject fields{
        {"request", QtText(request_.id)},
        {"route", QtText(route_.name)},
        {"upstream",
         QtText(tried_decodes_.empty() ? "" : tried_decodes_.back())},
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
    ReleaseLease(state_, request_.id, lease_);
    EndPrefill(state_.ledger, request_.id);
    EndRun(state_.ledger, request_.id);
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
  channel_client::call_id call_ = 0;
  std::optional<fleet_upstream> prefill_;
  absl::Time prefill_start_;
  // Tokens that the prefill engine had to prefill before this prompt.
  double prefill_backlog_ = 0;
  kv_lease lease_;
  // Ids of the engines that the request was sent to.
  std::vector<std::string> tried_prefills_;
  fleet_upstream decode_;
  std::vector<std::string> tried_decodes_;
  int sends_ = 0;
  // Whether an engine may have run the request.
  bool may_have_run_ = false;
  absl::Time decode_start_;
  absl::Time last_event_;
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
