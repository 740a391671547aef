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
#include "dispatch/stream_record.h"
#include "dispatch/stream_relay.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// Part of the latency target in which a stream may wait for memory; the rest
// is for the prefill, the transfer and the first event.
constexpr double kWaitShare = 0.6;
// How much longer than expected a prefill may take before its engine is given
// up.
constexpr double kPrefillPatience = 3;
constexpr absl::Duration kLeastPrefillPatience = absl::Milliseconds(400);
// Resumable streams go on elsewhere after a pause of this many gap targets;
// callers give up after eight.
constexpr double kStallGaps = 5;
// Least such pause, where a route names no gap target: several events' time.
constexpr absl::Duration kLeastEventPatience = absl::Milliseconds(500);
// Time for a first event once the memory is there.
constexpr double kFirstEventTargets = 1.3;
// How long a stream that is late already may wait: callers give up waiting for
// a first event after four latency targets.
constexpr double kLateTargets = 3;
// A prefill that was lost may have run: it counts as a send, and the decode
// behind another one does.
constexpr int kSendsAfterLostPrefill = 2;
constexpr int kOk = 200;

double Ms(absl::Duration duration) {
  return static_cast<double>(absl::ToInt64Milliseconds(duration));
}

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
            exchange_, request_.resume_after, [this] { NoteBegin(); },
            [this] { NoteTokens(); }) {}

  void Start() {
    // Event ids count from 1; what else a caller sends tells nothing.
    if (!absl::SimpleAtoi(request_.resume_after, &events_before_)) {
      events_before_ = 0;
    }
    NoteRequest(state_.budget, service_.name, request_.received);
    const absl::Time now = MonotonicNow();
    length_ = ExpectLength(state_.lengths[service_.name],
                           static_cast<double>(request_.output_estimate),
                           static_cast<double>(request_.max_output_tokens));
    NoteDemand();
    const auto self = shared_from_this();
    exchange_->OnClosed([self] { self->CallerLeft(); });
    RunAfter(state_.context, FinalAnswerTime(request_, route_) - now,
             [weak = weak_from_this()] {
               if (const auto flow = weak.lock()) flow->TimeIsUp();
             });
    if (UsableUpstreams(state_, service_.name, {}, now).empty()) {
      return Refuse(MakeError(error_kind::no_upstream,
                              "no engine of the service is registered"));
    }
    if (static_cast<double>(request_.prompt_tokens) >
        kPromisedMemory * static_cast<double>(service_.engine.kv_tokens)) {
      return Refuse(MakeError(error_kind::overloaded,
                              "the prompt is larger than an engine's memory"));
    }
    waiting_stream waiting = Waiting();
    waiting.done = [self](absl::StatusOr<engine_promise> promise) {
      self->TakePromise(std::move(promise));
    };
    AwaitEngines(state_, std::move(waiting), now);
  }

 private:
  waiting_stream Waiting() const {
    waiting_stream waiting;
    waiting.request_id = request_.id;
    waiting.service = service_.name;
    waiting.prompt = static_cast<double>(request_.prompt_tokens);
    waiting.generated = Generated();
    waiting.output = ExpectedRemaining(waiting.generated);
    if (route_.gap_target > absl::ZeroDuration()) {
      waiting.gap_target = route_.gap_target;
    }
    waiting.start_by = request_.received + route_.latency_target * kWaitShare;
    waiting.give_up =
        std::min(request_.received + route_.latency_target * kLateTargets,
                 LatestStart(waiting.output));
    return waiting;
  }

  // Latest time at which an answer of `output` tokens can end in time.
  absl::Time LatestStart(double output) const {
    return FinalAnswerTime(request_, route_) -
           absl::Milliseconds(output / state_.ledger.tokens_per_ms) -
           route_.latency_target * (1 - kWaitShare);
  }

  // Tokens that the caller has, of this answer and of those that broke before.
  double Generated() const {
    const double tokens =
        static_cast<double>(service_.engine.tokens_per_event) *
        (events_before_ + record_.events);
    return std::clamp(tokens, 0.0,
                      static_cast<double>(request_.max_output_tokens));
  }

  double ExpectedRemaining(double generated) const {
    return ExpectRemaining(length_, generated,
                           static_cast<double>(request_.max_output_tokens));
  }

  void TakePromise(absl::StatusOr<engine_promise> promise) {
    const absl::Duration waited = MonotonicNow() - request_.received;
    state_.metrics->CountWait(waited);
    if (ended_) return;
    if (!promise.ok()) return Refuse(promise.status());
    decode_ = promise->decode;
    LogEvent(log_level::info, "engines_chosen",
             {{"request", QtText(request_.id)},
              {"route", QtText(route_.name)},
              {"decode", QtText(decode_.id)},
              {"prefill", QtText(promise->prefill ? promise->prefill->id : "")},
              {"prompt", static_cast<double>(request_.prompt_tokens)},
              {"output", ExpectedRemaining(Generated())},
              {"resume_after", QtText(request_.resume_after)},
              {"waited_ms", Ms(waited)}});
    if (promise->prefill) {
      SendPrefill(*promise->prefill);
    } else {
      SendDecode();
    }
  }

  // ---- prefill

  void SendPrefill(const fleet_upstream& engine) {
    prefill_ = engine;
    const absl::Time now = MonotonicNow();
    prefill_began_ = now;
    send_order order;
    order.upstream = engine;
    order.purpose = send_purpose::prefill;
    order.time_left = TimeLeft(request_, route_, now);
    order.resume_after = relay_.ResumeAfter();
    http_call call = state_.speaker.write_send(request_, order);
    call.connect_timeout = kUpstreamConnectTimeout;
    const double backlog = PrefillBacklog(state_.ledger, engine.id, now);
    const double tokens = static_cast<double>(request_.prompt_tokens);
    call.timeout =
        std::max(kLeastPrefillPatience,
                 absl::Milliseconds(kPrefillPatience * (backlog + tokens) /
                                    state_.ledger.prefill_tokens_per_ms));
    prefill_backlog_ = backlog;
    BeginPrefill(state_.ledger, request_.id, engine.id, tokens);
    Changed();
    const auto self = shared_from_this();
    http_handler handler;
    handler.on_done = [self](const http_result& result) {
      self->PrefillEnded(result);
    };
    call_ = state_.client.Start(std::move(call), std::move(handler));
  }

  void PrefillEnded(const http_result& result) {
    call_ = 0;
    EndPrefill(state_.ledger, request_.id);
    if (ended_) return;
    const answer_facts facts =
        state_.speaker.read_answer(result.http_status, result.headers);
    absl::StatusOr<fleet_prefill> prefill = absl::UnavailableError("no answer");
    const send_fate fate = FateOfPrefill(result, facts, prefill);
    state_.metrics->CountSend(service_.name, SendFateName(fate));
    ReportSend(state_, *prefill_, fate, facts.other_instance);
    const absl::Duration took = MonotonicNow() - prefill_began_;
    record_.prefill = took;
    if (prefill.ok()) {
      record_.prefill_tokens = prefill->tokens;
      LearnPrefillSpeed(state_.ledger,
                        static_cast<double>(prefill->tokens) + prefill_backlog_,
                        took);
      lease_ =
          MakeLease(*prefill_, prefill->handle, service_.engine.handle_ttl);
      return SendDecode();
    }
    LogEvent(log_level::warn, "prefill_failed",
             {{"request", QtText(request_.id)},
              {"upstream", QtText(prefill_->id)},
              {"fate", QtText(SendFateName(fate))},
              {"status", result.http_status},
              {"why", QtText(result.status.message())},
              {"ms", Ms(took)}});
    // A refused prefill counts as a send; one that may have been accepted was
    // the first and doesn't, but the next one would.
    if (fate == send_fate::refused) {
      ++sends_;
      if (sends_ >= route_.attempts || !TakeBudget("prefill_refused")) {
        return Refuse(MakeError(error_kind::upstream_refused,
                                "the prefill engine has no room"));
      }
    }
    if (SendOtherPrefill(fate)) return;
    ReadAtDecode();
  }

  // The decode engine reads the prompt itself, which its other streams notice.
  void ReadAtDecode() {
    const waiting_stream waiting = Waiting();
    EndRun(state_.ledger, request_.id);
    if (const auto reader =
            PromiseReader(state_, waiting, tried_, MonotonicNow())) {
      decode_ = *reader;
    }
    Promise(waiting);
    SendDecode();
  }

  // Promises memory at the chosen decode engine.
  void Promise(const waiting_stream& waiting) {
    PromiseRun(state_.ledger, request_.id, decode_.id,
               waiting.prompt + waiting.generated, waiting.output,
               MonotonicNow());
  }

  // Sends to a prefill engine that was not tried yet, after one that ended with
  // `fate`; false when there is none or no send is left for it.
  bool SendOtherPrefill(send_fate fate) {
    tried_prefill_.push_back(prefill_->id);
    const auto other = PromisePrefill(
        state_, service_.name, static_cast<double>(request_.prompt_tokens),
        decode_.failure_domain, tried_prefill_, MonotonicNow());
    if (!other) return false;
    if (fate == send_fate::unknown) {
      if (sends_ + kSendsAfterLostPrefill > route_.attempts ||
          !TakeBudget("prefill_lost")) {
        return false;
      }
      ++sends_;
    }
    SendPrefill(*other);
    return true;
  }

  send_fate FateOfPrefill(const http_result& result, const answer_facts& facts,
                          absl::StatusOr<fleet_prefill>& prefill) const {
    if (result.status.ok() && result.http_status == kOk) {
      prefill = state_.speaker.read_prefill(result.body);
      return prefill.ok() ? send_fate::answered : send_fate::unknown;
    }
    return FateOf(result, facts);
  }

  // ---- decode

  void SendDecode() {
    const absl::Time now = MonotonicNow();
    send_order order;
    order.upstream = decode_;
    order.purpose = send_purpose::decode;
    order.time_left = TimeLeft(request_, route_, now);
    order.resume_after = relay_.ResumeAfter();
    if (!lease_.handle.empty() && now < lease_.until) {
      order.kv_address = lease_.engine.address;
      order.kv_handle = std::exchange(lease_.handle, {});
    } else {
      ReleaseLease(state_, request_.id, lease_);
      ExpectReading(
          state_.ledger, request_.id,
          kDecodePrefillCost *
              (static_cast<double>(request_.prompt_tokens) + Generated()));
      Changed();
    }
    http_call call = state_.speaker.write_send(request_, order);
    call.connect_timeout = kUpstreamConnectTimeout;
    tried_.push_back(decode_.id);
    ++sends_;
    began_ = now;
    last_event_ = now;
    relay_.BeginRun();
    generated_here_ = 0;
    const auto self = shared_from_this();
    http_handler handler;
    handler.on_headers = [self](int status, const http_headers& headers) {
      self->TakeHead(status, headers);
    };
    handler.on_data = [self](absl::string_view bytes) {
      if (!self->ended_) self->relay_.TakeBytes(bytes);
    };
    handler.on_done = [self](const http_result& result) {
      self->DecodeEnded(result);
    };
    call_ = state_.client.Start(std::move(call), std::move(handler));
    WatchProgress();
  }

  void TakeHead(int status, const http_headers& headers) {
    if (ended_) return;
    const answer_facts facts = state_.speaker.read_answer(status, headers);
    relay_.TakeHead(status == kOk && facts.genuine, headers);
  }

  void NoteBegin() {
    const absl::Time now = MonotonicNow();
    state_.metrics->CountFirstEvent(route_.name, now - request_.received);
    record_.first_event = now - request_.received;
    record_.decode_first = now - began_;
  }

  void NoteTokens() {
    const absl::Time now = MonotonicNow();
    const double tokens = service_.engine.tokens_per_event;
    if (generated_here_ > 0) {
      LearnDecodeSpeed(state_.ledger, tokens, now - last_event_);
    }
    if (now - last_event_ > record_.longest_gap) {
      record_.longest_gap = now - last_event_;
      record_.longest_gap_end = now - request_.received;
    }
    last_event_ = now;
    ++generated_here_;
    ++record_.events;
    const double generated = Generated();
    AdvanceRun(state_.ledger, request_.id,
               static_cast<double>(request_.prompt_tokens) + generated,
               ExpectedRemaining(generated), now);
  }

  // Looks again when the next event is overdue.
  void WatchProgress() {
    if (!route_.resumable) return;
    const absl::Duration patience = Patience();
    const absl::Time due = last_event_ + patience;
    RunAfter(state_.context, due - MonotonicNow(),
             [weak = weak_from_this(), call = call_] {
               const auto flow = weak.lock();
               if (!flow || flow->ended_ || flow->call_ != call) return;
               flow->CheckProgress();
             });
  }

  absl::Duration Patience() const {
    return generated_here_ == 0
               ? route_.latency_target * kFirstEventTargets
               : std::max(route_.gap_target * kStallGaps, kLeastEventPatience);
  }

  void CheckProgress() {
    if (MonotonicNow() < last_event_ + Patience()) return WatchProgress();
    // Going on elsewhere needs room there; else this engine may still answer.
    if (!MayGoOn() || !FindOther()) return;
    LogEvent(log_level::warn, "stream_stalled",
             {{"request", QtText(request_.id)},
              {"upstream", QtText(tried_.back())},
              {"events", record_.events},
              {"silent_ms", Ms(MonotonicNow() - last_event_)}});
    for (const fleet_upstream* upstream : Registered(tried_.back())) {
      ReportStall(state_, *upstream);
    }
    state_.client.Cancel(call_);
    call_ = 0;
    GoOn("stalled");
  }

  std::vector<const fleet_upstream*> Registered(absl::string_view id) const {
    std::vector<const fleet_upstream*> found;
    const auto service = state_.view->upstreams.find(service_.name);
    if (service == state_.view->upstreams.end()) return found;
    for (const fleet_upstream& upstream : service->second) {
      if (upstream.id == id) found.push_back(&upstream);
    }
    return found;
  }

  void DecodeEnded(const http_result& result) {
    call_ = 0;
    if (ended_) return;
    const answer_facts facts =
        state_.speaker.read_answer(result.http_status, result.headers);
    send_fate fate = FateOf(result, facts);
    const bool whole = fate == send_fate::answered && relay_.RunIsWhole();
    if (fate == send_fate::answered && result.http_status == kOk && !whole) {
      fate = send_fate::unknown;
    }
    state_.metrics->CountSend(service_.name, SendFateName(fate));
    ReportSend(state_, decode_, fate, facts.other_instance);
    if (whole) return Complete();
    LogEvent(log_level::warn, "decode_failed",
             {{"request", QtText(request_.id)},
              {"upstream", QtText(decode_.id)},
              {"fate", QtText(SendFateName(fate))},
              {"status", result.http_status},
              {"why", QtText(result.status.message())},
              {"events", record_.events},
              {"ms", Ms(MonotonicNow() - began_)}});
    if (fate == send_fate::unsent) --sends_;
    Follow(fate, result);
  }

  // Whether a send to another engine is allowed, but for the budget.
  bool MayGoOn() const {
    return route_.resumable && sends_ < route_.attempts && relay_.CanGoOn();
  }

  void Follow(send_fate fate, const http_result& result) {
    const bool ran = fate == send_fate::unknown || fate == send_fate::answered;
    if (fate == send_fate::unsent && !relay_.Begun() && !ran_) {
      // Nothing arrived: neither the attempts nor the budget are touched.
      if (FindOther()) return SendDecode();
    } else if (fate == send_fate::refused && !relay_.Begun() && !ran_) {
      if (sends_ < route_.attempts && FindOther() && TakeBudget("refused")) {
        return SendDecode();
      }
    } else if (MayGoOn() && FindOther()) {
      if (TakeBudget(SendFateName(fate))) return SendDecode();
    }
    ran_ = ran_ || ran;
    if (relay_.Begun()) return Abort();
    if (fate == send_fate::answered) return Deliver(result);
    if (ran_) {
      return Refuse(MakeError(error_kind::upstream_failed,
                              "the engine's answer was lost",
                              run_state::unknown));
    }
    Refuse(MakeError(error_kind::upstream_refused, "the engines have no room"));
  }

  void GoOn(absl::string_view reason) {
    ran_ = true;
    if (TakeBudget(reason)) return SendDecode();
    if (relay_.Begun()) return Abort();
    Refuse(MakeError(error_kind::upstream_stalled,
                     "the engine made no progress", run_state::unknown));
  }

  // Promises another decode engine to this request; false when none has room.
  bool FindOther() {
    const waiting_stream waiting = Waiting();
    const auto other = PromiseReader(state_, waiting, tried_, MonotonicNow());
    if (!other) return false;
    decode_ = *other;
    Promise(waiting);
    Changed();
    return true;
  }

  bool TakeBudget(absl::string_view reason) {
    return TakeBudgetedSend(state_, service_.name, request_.id, reason);
  }

  // ---- the end

  void Complete() {
    relay_.End();
    Learn();
    Ended("request_answered", kOk);
  }

  // What the service is asked for counts whether it can be served or not.
  void NoteDemand() {
    stream_workload& workload = state_.workloads[service_.name];
    LearnWorkload(workload, static_cast<double>(request_.prompt_tokens),
                  ExpectedRemaining(0));
    workload.prefill_tokens_per_ms = state_.ledger.prefill_tokens_per_ms;
    workload.decode_tokens_per_ms = state_.ledger.tokens_per_ms;
    workload.kv_tokens = static_cast<double>(service_.engine.kv_tokens);
    workload.slots = service_.engine.slots;
  }

  // A whole answer tells how long answers are.
  void Learn() {
    const double tokens =
        static_cast<double>(service_.engine.tokens_per_event) * record_.events;
    if (tokens <= 0 || !request_.resume_after.empty()) return;
    LearnLength(state_.lengths[service_.name],
                static_cast<double>(request_.output_estimate), tokens);
  }

  void Deliver(const http_result& result) {
    exchange_->Respond(result.http_status, result.headers,
                       relay_.FailureBody());
    Ended("request_answered", result.http_status);
  }

  void Abort() {
    relay_.Abort();
    Ended("stream_broken", 0);
  }

  void Refuse(const absl::Status& error) {
    if (ended_) return;
    const auto exchange = exchange_;
    End();
    RefuseRequest(state_, *exchange, request_, route_.name, error);
  }

  void TimeIsUp() {
    if (ended_) return;
    if (relay_.Begun()) return Abort();
    Refuse(sends_ > 0
               ? MakeError(error_kind::upstream_stalled,
                           "no event within the time limit", run_state::unknown)
               : MakeError(error_kind::overloaded,
                           "no engine within the time limit"));
  }

  void CallerLeft() {
    if (ended_) return;
    Ended("caller_left", 0);
  }

  void Ended(absl::string_view event, int http_status) {
    const absl::Duration took = MonotonicNow() - request_.received;
    state_.metrics->CountRequest(route_.name, http_status, took);
    QJsonObject fields{
        {"request", QtText(request_.id)},
        {"route", QtText(route_.name)},
        {"upstream", QtText(tried_.empty() ? "" : tried_.back())},
        {"status", http_status},
        {"sends", sends_},
        {"config", static_cast<double>(config_->version)},
        {"ms", Ms(took)}};
    const QJsonObject record = LogFields(record_);
    for (auto field = record.begin(); field != record.end(); ++field) {
      fields[field.key()] = field.value();
    }
    LogEvent(log_level::info, event, fields);
    End();
  }

  // Gives back all that the request holds.
  void End() {
    if (std::exchange(ended_, true)) return;
    LeaveQueue(state_, request_.id);
    if (call_ != 0) state_.client.Cancel(std::exchange(call_, 0));
    ReleaseLease(state_, request_.id, lease_);
    EndPrefill(state_.ledger, request_.id);
    EndRun(state_.ledger, request_.id);
    relay_.Close();
    exchange_.reset();
    Changed();
    // Room for others; not from here, where the caller may be one of them.
    RunAfter(state_.context, absl::ZeroDuration(),
             [&state = state_] { AdmitWaiting(state, MonotonicNow()); });
  }

  void Changed() {
    if (state_.on_ledger_change) state_.on_ledger_change();
  }

  dispatch_state& state_;
  const fleet_request request_;
  // Holds the route and the service.
  const std::shared_ptr<const fleet_config> config_;
  const fleet_route& route_;
  const fleet_service& service_;
  std::shared_ptr<inbound_exchange> exchange_;
  stream_relay relay_;

  // What its answer may be.
  length_distribution length_;
  channel_client::call_id call_ = 0;
  std::optional<fleet_upstream> prefill_;
  absl::Time prefill_began_;
  double prefill_backlog_ = 0;
  kv_lease lease_;
  std::vector<std::string> tried_prefill_;
  fleet_upstream decode_;
  std::vector<std::string> tried_;
  int sends_ = 0;
  // Whether an engine may have run it.
  bool ran_ = false;
  absl::Time began_;
  absl::Time last_event_;
  int generated_here_ = 0;
  bool ended_ = false;
  // Events that the caller had when it asked.
  int events_before_ = 0;
  stream_record record_;
};

}  // namespace

void StartStream(dispatch_state& state, routed_request routed) {
  std::make_shared<stream_flow>(state, std::move(routed))->Start();
}

}  // namespace anvilridge
