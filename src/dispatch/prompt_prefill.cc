#include "dispatch/prompt_prefill.h"

#include <QJsonObject>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "dispatch/quarantine_control.h"
#include "dispatch/stream_limits.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

constexpr int kOk = 200;

// A prefill whose response is pending.
struct prefill_in_progress {
  channel_client::call_id call = 0;
  fleet_upstream engine;
  absl::Time start;
  // Time from its start after which it takes unusually long.
  absl::Duration slow_after;
  // Tokens that the engine had to prefill before.
  double backlog = 0;
  // Identifies the prefill in the ledger.
  std::string ledger_id;
  bool replaces_other = false;
  // Whether it broke off, and its engine is checked for a crash.
  bool checking = false;
};

}  // namespace

struct prompt_prefill::impl : std::enable_shared_from_this<impl> {
  impl(dispatch_state& shared, const fleet_request& prompt,
       const fleet_route& of, std::weak_ptr<void> holder,
       prefill_listener events)
      : state(shared),
        request(prompt),
        route(of),
        owner(std::move(holder)),
        listener(std::move(events)) {}

  dispatch_state& state;
  const fleet_request& request;
  const fleet_route& route;
  std::weak_ptr<void> owner;
  prefill_listener listener;
  std::map<uint64_t, prefill_in_progress> prefills;
  uint64_t last_number = 0;
  std::vector<std::string> tried;

  void Send(const fleet_upstream& engine, absl::string_view resume_after,
            bool replaces_other);
  void ScheduleCheck(uint64_t number, absl::Duration delay,
                     absl::Duration next_delay);
  void OnDone(uint64_t number, const http_result& result);
  void CheckEngine(uint64_t number, const fleet_upstream& engine);
  // Returns the outcome of a prefill, and sets `prefill` to its result if there
  // is a response with status 200.
  send_outcome Classify(const http_result& result, const response_info& info,
                        absl::StatusOr<completed_prefill>& prefill) const;
  void Cancel();
};

void prompt_prefill::impl::Send(const fleet_upstream& engine,
                                absl::string_view resume_after,
                                bool replaces_other) {
  const absl::Time now = MonotonicNow();
  send_parameters parameters;
  parameters.upstream = engine;
  parameters.purpose = send_purpose::prefill;
  parameters.time_left = TimeLeft(request, route, now);
  parameters.resume_after = std::string(resume_after);
  http_call call = state.protocol.build_send_call(request, parameters);
  call.connect_timeout = kUpstreamConnectTimeout;
  call.max_body_bytes = kMaxControlResponseBytes;
  const uint64_t number = ++last_number;
  prefill_in_progress prefill;
  prefill.engine = engine;
  prefill.start = now;
  prefill.backlog = PrefillBacklog(state.ledger, engine.id, now);
  const double tokens = static_cast<double>(request.prompt_tokens);
  prefill.slow_after = SlowPrefillTime(tokens, prefill.backlog,
                                       state.ledger.prefill_tokens_per_ms);
  prefill.ledger_id = absl::StrCat(request.id, "/", number);
  prefill.replaces_other = replaces_other;
  tried.push_back(engine.id);
  BeginPrefill(state.ledger, prefill.ledger_id, engine.id, tokens);
  if (state.on_ledger_change) state.on_ledger_change();
  http_handler handler;
  handler.on_done = [weak = weak_from_this(), number](const http_result& done) {
    const auto self = weak.lock();
    if (!self) return;
    if (const auto alive = self->owner.lock()) self->OnDone(number, done);
  };
  prefill.call = StartUpstreamCall(state, engine, "prefill", std::move(call),
                                   std::move(handler));
  ScheduleCheck(number, prefill.slow_after, kSilenceCheckInterval);
  prefills.emplace(number, std::move(prefill));
}

// Reports prefill `number` as silent after `delay`, and then at intervals that
// begin with `next_delay`.
void prompt_prefill::impl::ScheduleCheck(uint64_t number, absl::Duration delay,
                                         absl::Duration next_delay) {
  RunAfter(state.context, delay, [weak = weak_from_this(), number, next_delay] {
    const auto self = weak.lock();
    if (!self) return;
    const auto found = self->prefills.find(number);
    const auto alive = self->owner.lock();
    if (!alive || found == self->prefills.end()) return;
    if (found->second.checking) return;
    const absl::Duration silence = MonotonicNow() - found->second.start;
    const bool failed =
        silence >= found->second.slow_after + kSilenceCheckInterval;
    self->listener.on_silent({found->second.engine, silence, failed});
    self->ScheduleCheck(number, next_delay, 2 * next_delay);
  });
}

void prompt_prefill::impl::OnDone(uint64_t number, const http_result& result) {
  const auto found = prefills.find(number);
  if (found == prefills.end()) return;
  const prefill_in_progress sent = found->second;
  EndPrefill(state.ledger, sent.ledger_id);
  const response_info info =
      state.protocol.parse_response(result.http_status, result.headers);
  absl::StatusOr<completed_prefill> prefill =
      absl::UnavailableError("no response");
  const send_outcome outcome = Classify(result, info, prefill);
  state.metrics->CountSend(sent.engine.service, SendOutcomeName(outcome));
  ReportSend(state, sent.engine, outcome, info.other_instance);
  const absl::Duration elapsed = MonotonicNow() - sent.start;
  if (prefill.ok()) {
    prefills.erase(number);
    RecordPromptHandled(state, engine_stage::prefill, request.shared_parts);
    UpdatePrefillSpeed(state.ledger,
                       static_cast<double>(prefill->tokens) + sent.backlog,
                       elapsed);
    Cancel();
    return listener.on_completed({sent.engine, *std::move(prefill), elapsed});
  }
  LogEvent(log_level::warn, "prefill_failed",
           {{"request", QtText(request.id)},
            {"upstream", QtText(sent.engine.id)},
            {"fate", QtText(SendOutcomeName(outcome))},
            {"status", result.http_status},
            {"why", QtText(result.status.message())},
            {"parts", QtText(PromptPartNames(request.shared_parts))},
            {"ms", static_cast<double>(absl::ToInt64Milliseconds(elapsed))}});
  const bool broke_off = outcome == send_outcome::unknown &&
                         KindOf(result.status) == error_kind::upstream_failed;
  if (broke_off && !request.shared_parts.empty()) {
    // Whether the prompt may be sent again depends on the result of the check.
    found->second.checking = true;
    return CheckEngine(number, sent.engine);
  }
  prefills.erase(number);
  listener.on_failed({outcome, sent.replaces_other});
}

// Checks whether `engine`, which broke prefill `number` off, has crashed,
// records that, and then ends the prefill.
void prompt_prefill::impl::CheckEngine(uint64_t number,
                                       const fleet_upstream& engine) {
  CheckForCrash(
      state, engine,
      [&shared = state, engine, parts = request.shared_parts,
       weak = weak_from_this(), number](engine_condition condition) {
        if (condition == engine_condition::crashed) {
          RecordEngineCrash(shared, engine, parts);
        }
        const auto self = weak.lock();
        if (!self) return;
        const auto alive = self->owner.lock();
        const auto found = self->prefills.find(number);
        if (!alive || found == self->prefills.end()) return;
        const bool replaces_other = found->second.replaces_other;
        self->prefills.erase(found);
        self->listener.on_failed({send_outcome::unknown, replaces_other});
      });
}

send_outcome prompt_prefill::impl::Classify(
    const http_result& result, const response_info& info,
    absl::StatusOr<completed_prefill>& prefill) const {
  if (result.status.ok() && result.http_status == kOk) {
    prefill = state.protocol.parse_prefill(result.body);
    return prefill.ok() ? send_outcome::answered : send_outcome::unknown;
  }
  return ClassifySend(result, info);
}

void prompt_prefill::impl::Cancel() {
  for (const auto& [number, prefill] : prefills) {
    state.client.Cancel(prefill.call);
    EndPrefill(state.ledger, prefill.ledger_id);
  }
  prefills.clear();
}

prompt_prefill::prompt_prefill(dispatch_state& state,
                               const fleet_request& request,
                               const fleet_route& route,
                               std::weak_ptr<void> owner,
                               prefill_listener listener)
    : impl_(std::make_shared<impl>(state, request, route, std::move(owner),
                                   std::move(listener))) {}

prompt_prefill::~prompt_prefill() { impl_->Cancel(); }

void prompt_prefill::Send(const fleet_upstream& engine,
                          absl::string_view resume_after, bool replaces_other) {
  impl_->Send(engine, resume_after, replaces_other);
}

void prompt_prefill::Cancel() { impl_->Cancel(); }

size_t prompt_prefill::InProgress() const { return impl_->prefills.size(); }

const std::vector<std::string>& prompt_prefill::Tried() const {
  return impl_->tried;
}

}  // namespace anvilridge
