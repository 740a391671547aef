#include "dispatch/decode_runs.h"

#include <QJsonObject>
#include <optional>
#include <utility>

#include "absl/algorithm/container.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/milliseconds.h"
#include "base/qt_text.h"
#include "dispatch/decode_admission.h"
#include "dispatch/event_splitter.h"
#include "dispatch/quarantine_control.h"
#include "dispatch/send_claim.h"
#include "dispatch/stream_limits.h"
#include "log/decision_log.h"
#include "upstreams/kept_bytes.h"

namespace anvilridge {
namespace {

constexpr int kOk = 200;
// Longest time for which two engines may generate for one stream: what both
// generate is wasted at one of them.
constexpr absl::Duration kMaxRunOverlap = absl::Milliseconds(300);
// Incomplete part of a response up to which it isn't counted as kept. Events
// that arrive in two parts are far shorter.
constexpr size_t kUncountedBytes = 16 << 10;

// Whether the engine may have run the request that was sent with `outcome`.
bool MayHaveBeenRun(send_outcome outcome) {
  return outcome == send_outcome::unknown || outcome == send_outcome::answered;
}

// Whether the engine that was sent to with `outcome` certainly didn't fetch the
// cache of the prompt. A refusal without a reason may mean that the cache is
// gone.
bool IsCacheUnfetched(send_outcome outcome, const response_info& info) {
  if (outcome == send_outcome::unsent) return true;
  return outcome == send_outcome::refused &&
         (info.other_instance || info.statement.leaving ||
          info.statement.pause.has_value());
}

// A send of the request to a decode engine, and its response.
struct engine_run {
  // Identifies the run within its stream.
  uint64_t number = 0;
  channel_client::call_id call = 0;
  fleet_upstream engine;
  // Whether the engine has had an earlier send of the request.
  bool returns = false;
  absl::Time start;
  // What is kept of the response.
  std::unique_ptr<kept_share> kept;
};

// Counts `bytes` as kept of the response of `run`. Returns false if that many
// may not be kept.
bool KeepBytes(engine_run& run, size_t bytes) {
  return run.kept->Set(bytes <= kUncountedBytes ? 0 : bytes);
}

// A run that was asked to continue the stream of a silent engine, and what has
// arrived of it.
struct successor_run {
  engine_run run;
  // Whether the engine has begun to generate.
  bool accepted = false;
  http_headers headers;
  std::string data;
  event_splitter splitter;
};

}  // namespace

struct decode_runs::impl : std::enable_shared_from_this<impl> {
  impl(dispatch_state& shared, routed_request& served, request_sends& counted,
       stream_relay& receiver, std::weak_ptr<void> holder,
       decode_listener events)
      : state(shared),
        routed(served),
        sends(counted),
        relay(receiver),
        owner(std::move(holder)),
        listener(std::move(events)),
        successor_ledger_id(absl::StrCat(served.request.id, "/successor")) {}

  dispatch_state& state;
  routed_request& routed;
  request_sends& sends;
  stream_relay& relay;
  std::weak_ptr<void> owner;
  decode_listener listener;
  // Id of the successor's reservation in the ledger. That of the current run is
  // the request's id.
  const std::string successor_ledger_id;

  // Cache that was named in the send of the current run. Kept after its end
  // unless the engine certainly fetched it.
  kv_lease named_lease;
  // Whether the engine of the last run certainly didn't fetch it.
  bool is_cache_unfetched = false;
  // The run that the stream is received from. Kept after its end, then with
  // `in_progress` false.
  std::optional<engine_run> current;
  bool in_progress = false;
  // Whether the current run broke off, and its engine is checked for a crash.
  bool checking = false;
  std::optional<successor_run> successor;
  uint64_t last_number = 0;
  std::vector<std::string> tried;
  bool may_have_run = false;
  // Time of the last event of the current run, or when it became current.
  absl::Time last_progress;
  // Events of the current run, and of all runs.
  int run_events = 0;
  int events = 0;
  bool cancelled = false;

  // ---- The current run

  send_parameters Parameters(const fleet_upstream& engine) const;
  engine_run Start(const send_parameters& parameters);
  void BeginCurrent();
  void AccountLocalPrefill(absl::string_view ledger_id);
  void OnHeaders(uint64_t number, int status, const http_headers& headers);
  void OnData(uint64_t number, absl::string_view bytes);
  void OnDone(uint64_t number, const http_result& result);
  void UncountIfNotRun(const engine_run& run, send_outcome outcome);
  bool HasBrokenOff(send_outcome outcome, const http_result& result) const;
  void CheckEngine(const fleet_upstream& engine, bool may_be_cause,
                   std::function<void(engine_condition)> checked);
  bool IsResumable() const;
  bool MayResume() const;

  // Returns whether a response belongs to the current run, and not to an
  // earlier one.
  bool IsCurrent(uint64_t number) const {
    return in_progress && current->number == number;
  }

  // ---- A silent engine and its successor

  bool IsSuccessor(uint64_t number) const {
    return successor && successor->run.number == number;
  }
  void ScheduleStallCheck(absl::Duration delay, absl::Duration next_delay);
  void CheckForStall(absl::Duration next_delay);
  void StartSuccessor(extra_send_need need);
  void OnSuccessorHeaders(bool is_stream, int status,
                          const http_headers& headers);
  void OnSuccessorData(absl::string_view bytes);
  void OnSuccessorDone(const http_result& result);
  void ContinueWithSuccessor(absl::string_view reason);
  void DropSuccessor(absl::string_view reason);

  void Cancel();

  // Runs `event` unless the stream has ended, and keeps its owner alive
  // meanwhile.
  template <typename T>
  void IfAlive(T event) {
    const auto alive = owner.lock();
    if (alive && !cancelled) event();
  }
};

send_parameters decode_runs::impl::Parameters(
    const fleet_upstream& engine) const {
  send_parameters parameters;
  parameters.upstream = engine;
  parameters.purpose = send_purpose::decode;
  parameters.time_left =
      TimeLeft(routed.request, *routed.route, MonotonicNow());
  parameters.resume_after = relay.ResumeAfter();
  return parameters;
}

// Sends the request to a decode engine.
engine_run decode_runs::impl::Start(const send_parameters& parameters) {
  engine_run run;
  run.engine = parameters.upstream;
  run.start = MonotonicNow();
  run.number = ++last_number;
  run.kept =
      std::make_unique<kept_share>(state.client.Kept(), run.engine.address);
  http_call call = state.protocol.build_send_call(routed.request, parameters);
  call.connect_timeout = kUpstreamConnectTimeout;
  run.returns = absl::c_linear_search(tried, run.engine.id);
  tried.push_back(run.engine.id);
  CountSend(sends, send_purpose::decode, run.returns);
  routed.charge.RecordSend(run.start);
  http_handler handler;
  handler.on_headers = [weak = weak_from_this(), number = run.number](
                           int status, const http_headers& headers) {
    const auto self = weak.lock();
    if (!self) return;
    self->IfAlive([&] { self->OnHeaders(number, status, headers); });
  };
  handler.on_data = [weak = weak_from_this(),
                     number = run.number](absl::string_view bytes) {
    const auto self = weak.lock();
    if (!self) return;
    self->IfAlive([&] { self->OnData(number, bytes); });
  };
  handler.on_done = [weak = weak_from_this(),
                     number = run.number](const http_result& result) {
    const auto self = weak.lock();
    if (!self) return;
    self->IfAlive([&] { self->OnDone(number, result); });
  };
  run.call = StartUpstreamCall(state, run.engine, "decode", std::move(call),
                               std::move(handler));
  return run;
}

// Prepares for the response of `current`.
void decode_runs::impl::BeginCurrent() {
  in_progress = true;
  last_progress = MonotonicNow();
  run_events = 0;
  relay.BeginRun();
  ScheduleStallCheck(StallTimeout(*routed.route), kSilenceCheckInterval);
}

// Accounts in the ledger for a decode engine that prefills the prompt and the
// tokens that the caller has received.
void decode_runs::impl::AccountLocalPrefill(absl::string_view ledger_id) {
  const waiting_stream rest = listener.rest();
  SetTokensToPrefill(state.ledger, ledger_id,
                     kDecodePrefillCost * (rest.prompt + rest.generated));
  if (state.on_ledger_change) state.on_ledger_change();
}

void decode_runs::impl::OnHeaders(uint64_t number, int status,
                                  const http_headers& headers) {
  const response_info info = state.protocol.parse_response(status, headers);
  const bool is_stream =
      status == kOk && info.authentic && relay.IsPartOfStream(headers);
  if (IsSuccessor(number)) {
    return OnSuccessorHeaders(is_stream, status, headers);
  }
  if (!IsCurrent(number)) return;
  if (is_stream) listener.on_accepted();
  relay.OnHeaders(is_stream, headers);
}

void decode_runs::impl::OnData(uint64_t number, absl::string_view bytes) {
  if (IsSuccessor(number)) return OnSuccessorData(bytes);
  if (!IsCurrent(number)) return;
  const bool fits = relay.OnData(bytes);
  // A handler of an event may have ended the stream.
  if (cancelled) return;
  if (fits && KeepBytes(*current, relay.KeptBytes())) return;
  state.client.Cancel(current->call);
  http_result result;
  result.status = MakeError(
      error_kind::upstream_failed,
      absl::StrCat("the engine sent ", relay.KeptBytes(),
                   " bytes of an event or an error response without its end, "
                   "more than may be kept"),
      run_state::unknown);
  OnDone(number, result);
}

void decode_runs::impl::OnDone(uint64_t number, const http_result& result) {
  if (IsSuccessor(number)) return OnSuccessorDone(result);
  if (!IsCurrent(number)) return;
  in_progress = false;
  // An error response of up to `stream_relay::kMaxKeptBytes` stays in the
  // relay until it is delivered.
  current->kept->Set(0);
  const response_info info =
      state.protocol.parse_response(result.http_status, result.headers);
  send_outcome outcome = ClassifySend(result, info);
  is_cache_unfetched = IsCacheUnfetched(outcome, info);
  const bool may_be_unfetched =
      outcome == send_outcome::unknown && run_events == 0;
  if (!is_cache_unfetched && !may_be_unfetched) named_lease.handle.clear();
  const bool complete =
      outcome == send_outcome::answered && relay.IsRunComplete();
  if (outcome == send_outcome::answered && result.http_status == kOk &&
      !complete) {
    outcome = send_outcome::unknown;
  }
  state.metrics->CountSend(routed.service->name, SendOutcomeName(outcome));
  ReportSend(state, current->engine, outcome, info.other_instance);
  if (complete) return listener.on_completed();
  LogEvent(log_level::warn, "decode_failed",
           {{"request", QtText(routed.request.id)},
            {"upstream", QtText(current->engine.id)},
            {"fate", QtText(SendOutcomeName(outcome))},
            {"status", result.http_status},
            {"why", QtText(result.status.message())},
            {"events", events},
            {"run_events", run_events},
            {"parts", QtText(PromptPartNames(routed.request.shared_parts))},
            {"ms", ToMilliseconds(MonotonicNow() - current->start)}});
  UncountIfNotRun(*current, outcome);
  if (MayHaveBeenRun(outcome)) may_have_run = true;
  const bool broke_off = HasBrokenOff(outcome, result);
  if (successor) {
    if (broke_off && run_events == 0) CheckEngine(current->engine, true, {});
    return ContinueWithSuccessor("failed");
  }
  if (!broke_off || (run_events > 0 && !IsResumable())) {
    return listener.on_failed({current->engine, outcome}, result);
  }
  // Whether and where the request is sent again depends on the result of the
  // check.
  checking = true;
  CheckEngine(
      current->engine, run_events == 0,
      [this, outcome, result](engine_condition condition) {
        checking = false;
        listener.on_failed({current->engine, outcome, condition}, result);
      });
}

// Takes back the counts of a send that the engine did not run.
void decode_runs::impl::UncountIfNotRun(const engine_run& run,
                                        send_outcome outcome) {
  if (!MayHaveBeenRun(outcome)) routed.charge.RecordNotRun(MonotonicNow());
  if (outcome != send_outcome::unsent) return;
  UncountSend(sends, send_purpose::decode, run.returns);
}

// Returns whether a run broke off, so that its engine may have crashed. Prompts
// without shared parts aren't examined: no crash could be put down to them.
bool decode_runs::impl::HasBrokenOff(send_outcome outcome,
                                     const http_result& result) const {
  return outcome == send_outcome::unknown &&
         !routed.request.shared_parts.empty() &&
         (result.status.ok() ||
          KindOf(result.status) == error_kind::upstream_failed);
}

// Checks whether `engine` has crashed, and then calls `checked` unless the
// stream has ended. Records a crash against the prompt if it `may_be_cause`: no
// run that has sent events is crashed by its prompt.
void decode_runs::impl::CheckEngine(
    const fleet_upstream& engine, bool may_be_cause,
    std::function<void(engine_condition)> checked) {
  CheckForCrash(state, engine,
                [&shared = state, engine, may_be_cause,
                 parts = routed.request.shared_parts, weak = weak_from_this(),
                 checked = std::move(checked)](engine_condition condition) {
                  if (condition == engine_condition::crashed && may_be_cause) {
                    RecordEngineCrash(shared, engine, parts);
                  }
                  const auto self = weak.lock();
                  if (self && checked) {
                    self->IfAlive([&] { checked(condition); });
                  }
                });
}

bool decode_runs::impl::IsResumable() const {
  return routed.route->resumable && relay.IsResumable();
}

bool decode_runs::impl::MayResume() const {
  return IsResumable() && sends.attempts < routed.route->attempts;
}

// Checks the current run after `delay`, and then at intervals that begin with
// `next_delay` and grow while it is silent.
void decode_runs::impl::ScheduleStallCheck(absl::Duration delay,
                                           absl::Duration next_delay) {
  if (!routed.route->resumable) return;
  RunAfter(state.context, delay,
           [weak = weak_from_this(), number = current->number, next_delay] {
             const auto self = weak.lock();
             if (!self || !self->in_progress) return;
             if (self->current->number != number) return;
             self->IfAlive([&] { self->CheckForStall(next_delay); });
           });
}

// Asks another engine to continue the stream if the current one is silent.
void decode_runs::impl::CheckForStall(absl::Duration next_delay) {
  const absl::Duration timeout = StallTimeout(*routed.route);
  const absl::Duration silence = MonotonicNow() - last_progress;
  if (silence < timeout) {
    return ScheduleStallCheck(timeout - silence, kSilenceCheckInterval);
  }
  // An engine that stays silent has probably failed.
  const bool failed = silence >= timeout + kSilenceCheckInterval;
  LogEvent(log_level::warn, "stream_stalled",
           {{"request", QtText(routed.request.id)},
            {"upstream", QtText(current->engine.id)},
            {"events", events},
            {"asked", QtText(successor ? successor->run.engine.id : "")},
            {"silent_ms", ToMilliseconds(silence)}});
  if (failed) ReportStall(state, routed.service->name, current->engine.id);
  if (!successor && MayResume()) {
    StartSuccessor(failed ? extra_send_need::replacement
                          : extra_send_need::alternative);
  }
  ScheduleStallCheck(next_delay, 2 * next_delay);
}

// Sends the request to another engine beside the silent one, if there is one
// with capacity and the budget allows it.
void decode_runs::impl::StartSuccessor(extra_send_need need) {
  if (IsQuarantined(state, engine_stage::decode, routed.request)) return;
  const absl::Time now = MonotonicNow();
  const waiting_stream rest = listener.rest();
  const auto engine = ChooseLocalPrefillEngine(state, rest, tried, now);
  if (!engine ||
      !ClaimSend(state, routed, sends, send_purpose::decode, "stalled", need)) {
    return;
  }
  ReserveDecode(state, successor_ledger_id, *engine, rest, now);
  AccountLocalPrefill(successor_ledger_id);
  successor.emplace().run = Start(Parameters(*engine));
}

void decode_runs::impl::OnSuccessorHeaders(bool is_stream, int status,
                                           const http_headers& headers) {
  if (!is_stream) {
    http_result result;
    result.http_status = status;
    result.headers = headers;
    return OnSuccessorDone(result);
  }
  successor->accepted = true;
  successor->headers = headers;
  RunAfter(state.context, kMaxRunOverlap,
           [weak = weak_from_this(), number = successor->run.number] {
             const auto self = weak.lock();
             if (!self || !self->IsSuccessor(number)) return;
             self->IfAlive([&] { self->ContinueWithSuccessor("accepted"); });
           });
}

// Keeps the successor's data until it has sent a whole event.
void decode_runs::impl::OnSuccessorData(absl::string_view bytes) {
  bool has_event = false;
  absl::StrAppend(&successor->data, bytes);
  SplitEvents(successor->splitter, bytes,
              [&has_event](absl::string_view, std::optional<int64_t>) {
                has_event = true;
              });
  if (has_event || !KeepBytes(successor->run, successor->data.size()) ||
      successor->data.size() > stream_relay::kMaxKeptBytes) {
    ContinueWithSuccessor("event");
  }
}

// Handles a successor that has failed or rejected the request.
void decode_runs::impl::OnSuccessorDone(const http_result& result) {
  const response_info info =
      state.protocol.parse_response(result.http_status, result.headers);
  const send_outcome outcome = ClassifySend(result, info);
  state.metrics->CountSend(routed.service->name, SendOutcomeName(outcome));
  ReportSend(state, successor->run.engine, outcome, info.other_instance);
  UncountIfNotRun(successor->run, outcome);
  if (MayHaveBeenRun(outcome)) may_have_run = true;
  if (HasBrokenOff(outcome, result)) {
    CheckEngine(successor->run.engine, true, {});
  }
  DropSuccessor(SendOutcomeName(outcome));
}

// Receives the stream from the successor, and cancels the silent run, which
// would otherwise generate the same events.
void decode_runs::impl::ContinueWithSuccessor(absl::string_view reason) {
  LogEvent(log_level::info, "stream_moved",
           {{"request", QtText(routed.request.id)},
            {"from", QtText(current->engine.id)},
            {"to", QtText(successor->run.engine.id)},
            {"reason", QtText(reason)},
            {"events", events}});
  if (in_progress) {
    state.client.Cancel(current->call);
    may_have_run = true;
  }
  named_lease.handle.clear();
  successor_run next = *std::exchange(successor, std::nullopt);
  current = std::move(next.run);
  EndRun(state.ledger, successor_ledger_id);
  ReserveDecode(state, routed.request.id, current->engine, listener.rest(),
                MonotonicNow());
  AccountLocalPrefill(routed.request.id);
  BeginCurrent();
  if (!next.accepted) return;
  relay.OnHeaders(true, next.headers);
  if (!next.data.empty()) OnData(current->number, next.data);
}

// Stays at the silent engine, and cancels the successor if it is still in
// progress.
void decode_runs::impl::DropSuccessor(absl::string_view reason) {
  LogEvent(log_level::info, "stream_kept",
           {{"request", QtText(routed.request.id)},
            {"upstream", QtText(current->engine.id)},
            {"not_moved_to", QtText(successor->run.engine.id)},
            {"reason", QtText(reason)},
            {"events", events}});
  state.client.Cancel(successor->run.call);
  successor.reset();
  EndRun(state.ledger, successor_ledger_id);
  if (state.on_ledger_change) state.on_ledger_change();
}

void decode_runs::impl::Cancel() {
  if (std::exchange(cancelled, true)) return;
  if (in_progress) state.client.Cancel(current->call);
  if (current) current->kept->Set(0);
  in_progress = false;
  checking = false;
  if (successor) state.client.Cancel(successor->run.call);
  successor.reset();
  EndRun(state.ledger, successor_ledger_id);
}

decode_runs::decode_runs(dispatch_state& state, routed_request& routed,
                         request_sends& sends, stream_relay& relay,
                         std::weak_ptr<void> owner, decode_listener listener)
    : impl_(std::make_shared<impl>(state, routed, sends, relay,
                                   std::move(owner), std::move(listener))) {}

decode_runs::~decode_runs() { impl_->Cancel(); }

void decode_runs::Send(const reserved_decode& place, kv_lease& lease) {
  send_parameters parameters = impl_->Parameters(place.engine);
  if (IsUsable(lease, MonotonicNow())) {
    parameters.kv_address = lease.engine.address;
    parameters.kv_handle = lease.handle;
    impl_->named_lease = std::exchange(lease, {});
  } else {
    const std::string& request_id = impl_->routed.request.id;
    ReleaseLease(impl_->state, request_id, lease);
    impl_->AccountLocalPrefill(request_id);
  }
  impl_->current = impl_->Start(parameters);
  impl_->BeginCurrent();
}

void decode_runs::OnEvent() {
  const absl::Time now = MonotonicNow();
  if (impl_->run_events > 0) {
    UpdateDecodeSpeed(impl_->state.ledger,
                      impl_->routed.service->engine.tokens_per_event,
                      now - impl_->last_progress);
  } else {
    RecordPromptHandled(impl_->state, engine_stage::decode,
                        impl_->routed.request.shared_parts);
  }
  impl_->last_progress = now;
  ++impl_->run_events;
  ++impl_->events;
  if (!impl_->successor) return;
  // The successor may have run by now.
  impl_->may_have_run = true;
  impl_->DropSuccessor("progress");
}

void decode_runs::Cancel() { impl_->Cancel(); }

bool decode_runs::InProgress() const {
  return impl_->in_progress || impl_->checking;
}

bool decode_runs::MayHaveRun() const { return impl_->may_have_run; }

bool decode_runs::MayResume() const { return impl_->MayResume(); }

kv_lease decode_runs::TakeLease(bool same_engine) {
  if (impl_->in_progress) return {};
  if (!impl_->is_cache_unfetched && !same_engine) return {};
  return std::exchange(impl_->named_lease, {});
}

bool decode_runs::MayReturn(const broken_send& broken) const {
  return impl_->IsResumable() &&
         ShouldReturnToEngine(impl_->state, broken, impl_->tried,
                              MonotonicNow());
}

const std::vector<std::string>& decode_runs::Tried() const {
  return impl_->tried;
}

absl::string_view decode_runs::UpstreamId() const {
  return impl_->current ? impl_->current->engine.id : absl::string_view();
}

absl::Time decode_runs::StartTime() const {
  return impl_->current ? impl_->current->start : absl::InfinitePast();
}

absl::Duration decode_runs::Silence() const {
  return MonotonicNow() - impl_->last_progress;
}

}  // namespace anvilridge
