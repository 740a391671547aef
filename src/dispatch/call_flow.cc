#include "dispatch/call_flow.h"

#include <QJsonObject>
#include <algorithm>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// A repeatable call without an answer is sent to a second upstream after this
// multiple of its latency target.
constexpr double kSecondSendTargets = 1.2;
// Calls that a near upstream may have more than one in another domain: the way
// there takes a part of a call's time.
constexpr double kFarCalls = 0.5;
// Part of an upstream's slots within which daemons choose at random, so that
// they don't choose alike.
constexpr double kLoadJitter = 0.1;
// When callers may come back after a refusal: a queue of calls is worked off
// within this time.
constexpr absl::Duration kComeBack = absl::Milliseconds(150);

struct send_in_progress {
  channel_client::call_id call = 0;
  fleet_upstream upstream;
  absl::Time began;
};

class call_flow : public std::enable_shared_from_this<call_flow> {
 public:
  call_flow(dispatch_state& state, routed_request routed)
      : state_(state),
        request_(std::move(routed.request)),
        config_(std::move(routed.config)),
        route_(*routed.route),
        service_(*routed.service),
        exchange_(std::move(routed.exchange)) {}

  void Start() {
    NoteRequest(state_.budget, service_.name, request_.received);
    const auto self = shared_from_this();
    exchange_->OnClosed([self] { self->CallerLeft(); });
    const absl::Time now = MonotonicNow();
    RunAfter(state_.context, FinalAnswerTime(request_, route_) - now,
             [weak = weak_from_this()] {
               if (const auto flow = weak.lock()) flow->TimeIsUp();
             });
    if (!Send()) {
      Refuse(MakeError(error_kind::no_upstream,
                       "no upstream of the service is registered",
                       run_state::not_run, kComeBack));
    }
  }

 private:
  // Sends to the best upstream left; false when there is none.
  bool Send() {
    const fleet_upstream* best = Choose();
    if (best == nullptr) return false;
    const absl::Time now = MonotonicNow();
    send_order order;
    order.upstream = *best;
    order.time_left = TimeLeft(request_, route_, now);
    http_call call = state_.speaker.write_send(request_, order);
    call.connect_timeout = kUpstreamConnectTimeout;
    tried_.push_back(best->id);
    ++sends_;
    ++state_.calls[best->id];
    send_in_progress send{0, *best, now};
    const auto self = shared_from_this();
    http_handler handler;
    handler.on_done = [self, id = best->id](const http_result& result) {
      self->SendEnded(id, result);
    };
    send.call = state_.client.Start(std::move(call), std::move(handler));
    in_progress_.push_back(std::move(send));
    if (route_.rule == run_rule::repeatable) ArmSecondSend();
    return true;
  }

  // The upstream with the fewest calls of this daemon for its slots; a near one
  // wins a tie.
  const fleet_upstream* Choose() {
    const fleet_upstream* best = nullptr;
    double best_load = 0;
    for (const fleet_upstream* upstream :
         UsableUpstreams(state_, service_.name, tried_, MonotonicNow())) {
      const auto calls = state_.calls.find(upstream->id);
      double load = calls == state_.calls.end() ? 0 : calls->second;
      load = (load + 1) / std::max(1, upstream->slots);
      if (upstream->failure_domain != state_.settings.failure_domain) {
        load += kFarCalls / std::max(1, upstream->slots);
      }
      load += absl::Uniform(state_.random, 0.0, kLoadJitter);
      if (best == nullptr || load < best_load) {
        best = upstream;
        best_load = load;
      }
    }
    return best;
  }

  void ArmSecondSend() {
    if (sends_ >= route_.attempts) return;
    RunAfter(state_.context, route_.latency_target * kSecondSendTargets,
             [weak = weak_from_this(), sends = sends_] {
               const auto flow = weak.lock();
               if (!flow || flow->ended_ || flow->sends_ != sends) return;
               if (flow->in_progress_.empty()) return;
               ReportStall(flow->state_, flow->in_progress_.back().upstream);
               if (flow->TakeBudget("slow")) flow->Send();
             });
  }

  bool TakeBudget(absl::string_view reason) {
    return TakeBudgetedSend(state_, service_.name, request_.id, reason);
  }

  void SendEnded(const std::string& upstream_id, const http_result& result) {
    const auto found = std::find_if(
        in_progress_.begin(), in_progress_.end(),
        [&](const auto& send) { return send.upstream.id == upstream_id; });
    if (found == in_progress_.end()) return;
    const send_in_progress send = *found;
    in_progress_.erase(found);
    --state_.calls[upstream_id];
    const answer_facts facts =
        state_.speaker.read_answer(result.http_status, result.headers);
    const send_fate fate = FateOf(result, facts);
    Report(send, fate, facts.other_instance, result);
    if (ended_) return;
    // The other send may still answer.
    if (!in_progress_.empty() && (fate != send_fate::answered ||
                                  result.http_status >= kFirstServerError)) {
      if (fate == send_fate::unknown) may_have_run_ = true;
      return;
    }
    Follow(fate, result);
  }

  void Report(const send_in_progress& send, send_fate fate, bool misdirected,
              const http_result& result) {
    state_.metrics->CountSend(service_.name, SendFateName(fate));
    ReportSend(state_, send.upstream, fate, misdirected);
    if (fate == send_fate::answered && result.http_status < kFirstServerError) {
      return;
    }
    LogEvent(log_level::info, "send_ended",
             {{"request", QtText(request_.id)},
              {"upstream", QtText(send.upstream.id)},
              {"fate", QtText(SendFateName(fate))},
              {"status", result.http_status},
              {"why", QtText(result.status.message())},
              {"ms", static_cast<double>(absl::ToInt64Milliseconds(
                         MonotonicNow() - send.began))}});
  }

  void Follow(send_fate fate, const http_result& result) {
    if (fate == send_fate::unsent) --sends_;
    send_allowance allowance;
    allowance.rule = route_.rule;
    allowance.sends = sends_;
    allowance.attempts = route_.attempts;
    allowance.may_have_run = may_have_run_;
    allowance.other_upstream =
        !UsableUpstreams(state_, service_.name, tried_, MonotonicNow()).empty();
    if (fate == send_fate::unknown) may_have_run_ = true;
    next_step step = StepAfter(fate, result.http_status, allowance);
    if (step == next_step::send_again && fate != send_fate::unsent &&
        !TakeBudget(SendFateName(fate))) {
      allowance.budget = false;
      step = StepAfter(fate, result.http_status, allowance);
    }
    switch (step) {
      case next_step::deliver:
        return Deliver(result);
      case next_step::send_again:
        if (Send()) return;
        [[fallthrough]];
      case next_step::refuse:
        return Refuse(MakeError(error_kind::upstream_refused,
                                "the upstreams have no room",
                                run_state::not_run, kComeBack));
      case next_step::fail:
        return Refuse(MakeError(error_kind::upstream_failed,
                                "the upstream's answer was lost",
                                run_state::unknown));
    }
  }

  void Deliver(const http_result& result) {
    ended_ = true;
    CancelSends();
    const absl::Duration took = MonotonicNow() - request_.received;
    state_.metrics->CountRequest(route_.name, result.http_status, took);
    LogEvent(log_level::info, "request_answered",
             {{"request", QtText(request_.id)},
              {"route", QtText(route_.name)},
              {"upstream", QtText(tried_.back())},
              {"status", result.http_status},
              {"sends", sends_},
              {"config", static_cast<double>(config_->version)},
              {"ms", static_cast<double>(absl::ToInt64Milliseconds(took))}});
    exchange_->Respond(result.http_status, result.headers, result.body);
    exchange_.reset();
  }

  void Refuse(const absl::Status& error) {
    if (ended_) return;
    ended_ = true;
    CancelSends();
    RefuseRequest(state_, *exchange_, request_, route_.name, error);
    exchange_.reset();
  }

  void TimeIsUp() {
    if (ended_) return;
    const bool sent = !in_progress_.empty() || may_have_run_;
    for (const send_in_progress& send : in_progress_) {
      ReportStall(state_, send.upstream);
    }
    Refuse(sent ? MakeError(error_kind::upstream_stalled,
                            "no answer within the time limit",
                            run_state::unknown)
                : MakeError(error_kind::overloaded,
                            "no upstream within the time limit",
                            run_state::not_run, kComeBack));
  }

  void CallerLeft() {
    if (ended_) return;
    ended_ = true;
    CancelSends();
    const absl::Duration took = MonotonicNow() - request_.received;
    state_.metrics->CountRequest(route_.name, 0, took);
    LogEvent(log_level::info, "caller_left",
             {{"request", QtText(request_.id)},
              {"route", QtText(route_.name)},
              {"sends", sends_},
              {"ms", static_cast<double>(absl::ToInt64Milliseconds(took))}});
    exchange_.reset();
  }

  void CancelSends() {
    for (const send_in_progress& send : in_progress_) {
      --state_.calls[send.upstream.id];
      state_.client.Cancel(send.call);
    }
    in_progress_.clear();
  }

  static constexpr int kFirstServerError = 500;

  dispatch_state& state_;
  const fleet_request request_;
  // Holds the route and the service.
  const std::shared_ptr<const fleet_config> config_;
  const fleet_route& route_;
  const fleet_service& service_;
  std::shared_ptr<inbound_exchange> exchange_;
  std::vector<std::string> tried_;
  std::vector<send_in_progress> in_progress_;
  int sends_ = 0;
  bool may_have_run_ = false;
  bool ended_ = false;
};

}  // namespace

void StartCall(dispatch_state& state, routed_request routed) {
  std::make_shared<call_flow>(state, std::move(routed))->Start();
}

}  // namespace anvilridge
