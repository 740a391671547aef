#include "dispatch/call_flow.h"

#include <QJsonObject>
#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "dispatch/stop_admission.h"
#include "dispatch/unfinished_request.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// Multiple of the latency target after which a repeatable call without a
// response is also sent to a second upstream (a hedged request).
constexpr double kHedgeLatencyTargets = 1.2;
// Number of calls that are added to the load of an upstream in another failure
// domain, since the network latency to it is part of a call's time.
constexpr double kOtherDomainExtraCalls = 0.5;
// Largest random value that is added to the load of an upstream, in calls per
// slot, when upstreams are compared. It keeps the daemons from all choosing the
// same one.
constexpr double kLoadJitter = 0.1;
// Time after which callers may retry a refused request: an upstream works off a
// queue of calls within it.
constexpr absl::Duration kRetryAfter = absl::Milliseconds(150);

// A send of the request to an upstream whose response is pending.
struct send_in_progress {
  channel_client::call_id call = 0;
  fleet_upstream upstream;
  absl::Time start;
};

// Serves one request to a service that doesn't stream.
class call_flow : public std::enable_shared_from_this<call_flow> {
 public:
  call_flow(dispatch_state& state, routed_request routed)
      : state_(state),
        request_(std::move(routed.request)),
        config_(std::move(routed.config)),
        route_(*routed.route),
        service_(*routed.service),
        exchange_(std::move(routed.exchange)),
        charge_(std::move(routed.charge)) {}

  void Start() {
    RecordRequest(state_.budget, service_.name, state_.settings.budget,
                  MonotonicNow());
    const auto self = shared_from_this();
    open_.emplace(
        state_.open_requests,
        open_request{request_.id, route_.name, /*streams=*/false,
                     request_.received, ResponseDeadline(request_, route_),
                     [weak = weak_from_this()] {
                       const auto flow = weak.lock();
                       if (flow) flow->OnTimeout(unfinished_reason::stop);
                     }});
    exchange_->OnClosed([self] { self->OnCallerLeft(); });
    const absl::Time now = MonotonicNow();
    RunAfter(state_.context, ResponseDeadline(request_, route_) - now,
             [weak = weak_from_this()] {
               const auto flow = weak.lock();
               if (flow) flow->OnTimeout(unfinished_reason::time_limit);
             });
    SendOrWait();
  }

 private:
  // Sends the request. If all upstreams are absent and the first one returns
  // within the latency target, sends it then; refuses it otherwise.
  void SendOrWait() {
    if (!MayEndBeforeStop()) return Refuse(Stopping());
    if (!MayEndInTime()) {
      return Refuse(MakeError(error_kind::overloaded,
                              "no recent call was as short as the time left",
                              run_state::not_run, RetryAfter()));
    }
    if (Send()) return;
    const absl::Time now = MonotonicNow();
    const auto back =
        EarliestReturn(state_, service_.name, engine_stage::none, now);
    if (!back || *back == absl::InfiniteFuture()) {
      return Refuse(
          MakeError(error_kind::no_upstream,
                    "all registered upstreams of the service are leaving, "
                    "or none is registered",
                    run_state::not_run, kRetryAfter));
    }
    if (*back > std::min(request_.received + route_.latency_target,
                         ResponseDeadline(request_, route_))) {
      return Refuse(MakeError(
          error_kind::overloaded,
          absl::StrCat("all upstreams have asked for a pause, the first for ",
                       absl::FormatDuration(*back - now), " more"),
          run_state::not_run, RetryAfter()));
    }
    RunAfter(state_.context, *back - now, [weak = weak_from_this()] {
      const auto flow = weak.lock();
      if (flow && !flow->ended_) flow->SendOrWait();
    });
  }

  // Returns the error with which the request is refused in a stop.
  absl::Status Stopping() const {
    return StoppingError(state_, ResponseDeadline(request_, route_),
                         MonotonicNow());
  }

  // Returns whether a send would have its response before this daemon stops.
  bool MayEndBeforeStop() const {
    return MayBeginCall(state_, route_.name, ResponseDeadline(request_, route_),
                        MonotonicNow());
  }

  // Returns whether an upstream could respond within the request's time limit.
  bool MayEndInTime() const {
    const absl::Time now = MonotonicNow();
    return now + ShortestCall(state_, route_.name, now) <=
           ResponseDeadline(request_, route_);
  }

  // Returns the time after which a refused request may be retried: when the
  // first upstream returns, if all are absent.
  absl::Duration RetryAfter() {
    const absl::Time now = MonotonicNow();
    const auto back =
        EarliestReturn(state_, service_.name, engine_stage::none, now);
    if (!back || *back == absl::InfiniteFuture()) return kRetryAfter;
    return std::max(kRetryAfter, *back - now);
  }

  // Sends the request to the best upstream that was not tried yet. Returns
  // false if there is none.
  bool Send() {
    const fleet_upstream* best = ChooseUpstream();
    if (best == nullptr) return false;
    const absl::Time now = MonotonicNow();
    send_parameters parameters;
    parameters.upstream = *best;
    parameters.time_left = TimeLeft(request_, route_, now);
    http_call call = state_.protocol.build_send_call(request_, parameters);
    call.connect_timeout = kUpstreamConnectTimeout;
    tried_.push_back(best->id);
    ++sends_;
    last_send_ = now;
    charge_.RecordSend(now);
    ++state_.calls[best->id];
    send_in_progress send{0, *best, now};
    const auto self = shared_from_this();
    http_handler handler;
    handler.on_done = [self, id = best->id](const http_result& result) {
      self->OnSendDone(id, result);
    };
    send.call = StartUpstreamCall(state_, *best, "call", std::move(call),
                                  std::move(handler));
    in_progress_.push_back(std::move(send));
    if (route_.rule == run_rule::repeatable) ScheduleHedge();
    return true;
  }

  // Returns the upstream with the fewest calls of this daemon per slot, or null
  // if there is none. An upstream in this daemon's failure domain wins a tie.
  const fleet_upstream* ChooseUpstream() {
    const fleet_upstream* best = nullptr;
    double best_load = 0;
    for (const fleet_upstream* upstream :
         UsableUpstreams(state_, service_.name, tried_, MonotonicNow())) {
      const auto calls = state_.calls.find(upstream->id);
      double load = calls == state_.calls.end() ? 0 : calls->second;
      load = (load + 1) / std::max(1, upstream->slots);
      if (upstream->failure_domain != state_.settings.failure_domain) {
        load += kOtherDomainExtraCalls / std::max(1, upstream->slots);
      }
      load += absl::Uniform(state_.random, 0.0, kLoadJitter);
      if (best == nullptr || load < best_load) {
        best = upstream;
        best_load = load;
      }
    }
    return best;
  }

  // Schedules the send to a second upstream for a request that is still without
  // a response by then.
  void ScheduleHedge() {
    if (sends_ >= route_.attempts) return;
    RunAfter(state_.context, route_.latency_target * kHedgeLatencyTargets,
             [weak = weak_from_this(), sends = sends_] {
               const auto flow = weak.lock();
               if (!flow || flow->ended_ || flow->sends_ != sends) return;
               if (flow->in_progress_.empty()) return;
               if (!flow->MayEndBeforeStop()) return;
               ReportStall(flow->state_, flow->in_progress_.back().upstream);
               if (flow->ConsumeBudget("slow", extra_send_need::alternative)) {
                 flow->Send();
               }
             });
  }

  bool ConsumeBudget(absl::string_view reason, extra_send_need need) {
    return TakeBudgetedSend(state_, service_.name, request_.id, reason, need);
  }

  void OnSendDone(const std::string& upstream_id, const http_result& result) {
    const auto found = std::find_if(
        in_progress_.begin(), in_progress_.end(),
        [&](const auto& send) { return send.upstream.id == upstream_id; });
    if (found == in_progress_.end()) return;
    const send_in_progress send = *found;
    in_progress_.erase(found);
    --state_.calls[upstream_id];
    const response_info info =
        state_.protocol.parse_response(result.http_status, result.headers);
    const send_outcome outcome = ClassifySend(result, info);
    ReportOutcome(send, outcome, info.other_instance, result);
    if (outcome == send_outcome::unsent || outcome == send_outcome::refused) {
      charge_.RecordNotRun(MonotonicNow());
    }
    if (ended_) return;
    // The other send may still bring a valid response.
    if (!in_progress_.empty() && (outcome != send_outcome::answered ||
                                  result.http_status >= kFirstServerError)) {
      if (outcome == send_outcome::unknown) may_have_run_ = true;
      return;
    }
    HandleOutcome(outcome, result);
  }

  // Reports the outcome of a send to the metrics, the upstream's health and,
  // unless it succeeded, to the log.
  void ReportOutcome(const send_in_progress& send, send_outcome outcome,
                     bool misdirected, const http_result& result) {
    state_.metrics->CountSend(service_.name, SendOutcomeName(outcome));
    ReportSend(state_, send.upstream, outcome, misdirected);
    const bool succeeded = outcome == send_outcome::answered &&
                           result.http_status < kFirstServerError;
    // Refusals and errors don't tell how long a call takes.
    if (succeeded || outcome == send_outcome::unknown) RecordCallDuration(send);
    if (succeeded) return;
    LogEvent(log_level::info, "send_ended",
             {{"request", QtText(request_.id)},
              {"upstream", QtText(send.upstream.id)},
              {"fate", QtText(SendOutcomeName(outcome))},
              {"status", result.http_status},
              {"why", QtText(result.status.message())},
              {"ms", static_cast<double>(absl::ToInt64Milliseconds(
                         MonotonicNow() - send.start))}});
  }

  void RecordCallDuration(const send_in_progress& send) {
    const absl::Time now = MonotonicNow();
    RecordDuration(state_.call_durations[route_.name], now - send.start, now);
  }

  // Decides from the outcome of a send whether to respond to the caller or to
  // send the request again, and does so.
  void HandleOutcome(send_outcome outcome, const http_result& result) {
    if (outcome == send_outcome::unsent) --sends_;
    retry_context retry;
    retry.rule = route_.rule;
    retry.sends = sends_;
    retry.max_sends = route_.attempts;
    retry.may_have_run = may_have_run_;
    retry.has_other_upstream =
        MayEndBeforeStop() &&
        !UsableUpstreams(state_, service_.name, tried_, MonotonicNow()).empty();
    if (outcome == send_outcome::unknown) may_have_run_ = true;
    next_step step = DecideNextStep(outcome, result.http_status, retry);
    if (step == next_step::send_again && outcome != send_outcome::unsent &&
        !ConsumeBudget(SendOutcomeName(outcome),
                       extra_send_need::replacement)) {
      retry.has_budget = false;
      step = DecideNextStep(outcome, result.http_status, retry);
    }
    switch (step) {
      case next_step::deliver:
        return Deliver(result);
      case next_step::send_again:
        if (Send()) return;
        [[fallthrough]];
      case next_step::refuse:
        return Refuse(MayEndBeforeStop()
                          ? MakeError(error_kind::upstream_refused,
                                      "no upstream accepted the request",
                                      run_state::not_run, RetryAfter())
                          : Stopping());
      case next_step::fail:
        ReportUnfinished(unfinished_reason::upstream_failed);
        return Refuse(MakeError(error_kind::upstream_failed,
                                "no complete response from the upstream",
                                run_state::unknown));
    }
  }

  void Deliver(const http_result& result) {
    End();
    const absl::Duration elapsed = MonotonicNow() - request_.received;
    state_.metrics->CountRequest(route_.name, result.http_status, elapsed);
    LogEvent(log_level::info, "request_answered",
             {{"request", QtText(request_.id)},
              {"route", QtText(route_.name)},
              {"upstream", QtText(tried_.back())},
              {"status", result.http_status},
              {"sends", sends_},
              {"config", static_cast<double>(config_->version)},
              {"ms", static_cast<double>(absl::ToInt64Milliseconds(elapsed))}});
    exchange_->Respond(result.http_status, result.headers, result.body);
    exchange_.reset();
  }

  void Refuse(const absl::Status& error) {
    if (ended_) return;
    End();
    RefuseRequest(state_, *exchange_, request_, route_.name, error);
    exchange_.reset();
  }

  // Ends the request because there is no more time for it.
  void OnTimeout(unfinished_reason reason) {
    if (ended_) return;
    const bool stopping = reason == unfinished_reason::stop;
    const bool sent = !in_progress_.empty() || may_have_run_;
    for (const send_in_progress& send : in_progress_) {
      if (!stopping) ReportStall(state_, send.upstream);
    }
    if (sent) {
      ReportUnfinished(reason);
      return Refuse(MakeError(error_kind::upstream_stalled,
                              stopping ? "no response before this daemon stops"
                                       : "no response within the time limit",
                              run_state::unknown));
    }
    if (stopping) return Refuse(Stopping());
    Refuse(MakeError(error_kind::overloaded,
                     "no upstream accepted the request within the time limit",
                     run_state::not_run, RetryAfter()));
  }

  void ReportUnfinished(unfinished_reason reason) {
    unfinished_request unfinished;
    unfinished.reason = reason;
    if (!tried_.empty()) unfinished.upstream = tried_.back();
    unfinished.call_in_progress = !in_progress_.empty();
    unfinished.silence = MonotonicNow() - last_send_;
    unfinished.sends = sends_;
    anvilridge::ReportUnfinished(state_, request_, route_, service_,
                                 unfinished);
  }

  void OnCallerLeft() {
    if (ended_) return;
    End();
    const absl::Duration elapsed = MonotonicNow() - request_.received;
    state_.metrics->CountRequest(route_.name, 0, elapsed);
    LogEvent(log_level::info, "caller_left",
             {{"request", QtText(request_.id)},
              {"route", QtText(route_.name)},
              {"sends", sends_},
              {"ms", static_cast<double>(absl::ToInt64Milliseconds(elapsed))}});
    exchange_.reset();
  }

  void End() {
    ended_ = true;
    open_->Close();
    CancelSends();
  }

  void CancelSends() {
    for (const send_in_progress& send : in_progress_) {
      --state_.calls[send.upstream.id];
      RecordCallDuration(send);
      state_.client.Cancel(send.call);
    }
    in_progress_.clear();
  }

  // Lowest HTTP status of a server error.
  static constexpr int kFirstServerError = 500;

  dispatch_state& state_;
  const fleet_request request_;
  // Owns `route_` and `service_`.
  const std::shared_ptr<const fleet_config> config_;
  const fleet_route& route_;
  const fleet_service& service_;
  std::shared_ptr<inbound_exchange> exchange_;
  // What the request counts for its team.
  team_charge charge_;
  // Set by `Start`.
  std::optional<open_request_entry> open_;
  // Ids of the upstreams that the request was sent to.
  std::vector<std::string> tried_;
  std::vector<send_in_progress> in_progress_;
  int sends_ = 0;
  absl::Time last_send_;
  // Whether an upstream may have run the request.
  bool may_have_run_ = false;
  bool ended_ = false;
};

}  // namespace

void StartCall(dispatch_state& state, routed_request routed) {
  std::make_shared<call_flow>(state, std::move(routed))->Start();
}

}  // namespace anvilridge
