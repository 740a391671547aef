#include "requests/service_flow.h"

#include <QCryptographicHash>
#include <QJsonObject>
#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "claims/claim_holder.h"
#include "log/decision_log.h"
#include "requests/header_rules.h"
#include "requests/service_choice.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kServiceTimeout = absl::Seconds(10);
constexpr int kMaxAttempts = 3;
constexpr int kServerErrors = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

std::string CallHash(const inbound_request& request) {
  QCryptographicHash hash(QCryptographicHash::Sha256);
  for (const std::string& part :
       {request.method, request.path, request.query, request.body}) {
    hash.addData(QByteArray::fromStdString(part));
    hash.addData(QByteArray(1, '\0'));
  }
  return hash.result().toHex().toStdString();
}

bool MayRepeat(const service_request& request) {
  const std::vector<std::string>& methods = request.route.repeatable_methods;
  return std::find(methods.begin(), methods.end(), request.inbound.method) !=
         methods.end();
}

call_result HealthOf(const http_result& result) {
  if (result.status.ok()) {
    return result.http_status < kServerErrors ? call_result::ok
                                              : call_result::failed;
  }
  const bool stalled = KindOf(result.status) == error_kind::upstream_stalled;
  return stalled ? call_result::stalled : call_result::failed;
}

// One call of a plain service on its traffic thread.
class service_flow : public std::enable_shared_from_this<service_flow> {
 public:
  service_flow(flow_context& context, service_request request,
               std::shared_ptr<inbound_exchange> exchange)
      : context_(context),
        request_(std::move(request)),
        exchange_(std::move(exchange)),
        repeatable_(MayRepeat(request_)),
        key_(HeaderValue(request_.inbound.headers, "idempotency-key")),
        owner_(context.services->owner()),
        started_(MonotonicNow()) {}

  void Start() {
    exchange_->OnClosed([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->CallerLeft();
    });
    Services().admit(
        Active("admission"),
        [self = shared_from_this()](const absl::Status& admitted) {
          if (!admitted.ok()) return self->Fail(admitted);
          self->admitted_ = true;
          EarnRetries(self->context_.retries, self->request_.route.name,
                      self->Services().retries);
          self->Claim();
        },
        [weak = weak_from_this()] {
          if (const auto self = weak.lock()) self->TakeCancel();
        });
  }

 private:
  const request_services& Services() const { return *context_.services; }

  active_request Active(absl::string_view stage) const {
    return {request_.request_id,
            request_.caller.team,
            request_.route.name,
            std::string(stage),
            upstream_.name,
            started_,
            {}};
  }

  // A call that may not be repeated goes on without its caller: its outcome is
  // kept for a retry with the same key.
  void CallerLeft() {
    caller_left_ = true;
    if (over_ || cancelled_ || !repeatable_) return;
    if (call_ != 0) context_.client->Cancel(call_);
    EndUpstreamCall();
    Services().metrics.ended(request_.route.name, kResultCallerLeft);
    End();
  }

  // What was sent can't be called back: its caller is told so at once. The
  // answer to a claimed call is awaited, so that a retry learns of it.
  void TakeCancel() {
    if (over_ || cancelled_) return;
    cancelled_ = true;
    // Before its claim is answered, an earlier call with the key may have run.
    const bool key_unsure = !repeatable_ && !key_.empty() && !claim_;
    const absl::Status error = Honest(MakeError(
        error_kind::cancelled, "an operator cancelled this request",
        sent_ || key_unsure ? run_state::unknown : run_state::not_run));
    RefuseCaller(error);
    if (claim_ && call_ != 0) {
      return Services().update(Active("cancelled"));
    }
    if (call_ != 0) context_.client->Cancel(call_);
    EndUpstreamCall();
    End();
  }

  void Claim() {
    if (repeatable_ || key_.empty()) return Send();
    claim_request ask;
    ask.team = request_.caller.team;
    ask.route = request_.route.name;
    ask.key = key_;
    ask.body_hash = CallHash(request_.inbound);
    ask.answer_window = kServiceTimeout;
    claim_asked_ = true;
    Services().claim(
        ask, [self = shared_from_this()](absl::StatusOr<claim_result> result) {
          self->TakeClaim(std::move(result));
        });
  }

  void TakeClaim(absl::StatusOr<claim_result> result) {
    if (over_) return GiveBack(std::move(result));
    if (!result.ok()) {
      Services().metrics.claim_ended(ResultName(result.status()));
      return Fail(result.status());
    }
    if (const auto* stored = std::get_if<claim_outcome>(&*result)) {
      return Replay(*stored);
    }
    claim_ = std::get<claim_grant>(*result);
    Send();
  }

  // The call was cancelled while its key was being claimed, and was not sent.
  void GiveBack(absl::StatusOr<claim_result> result) {
    if (!result.ok()) return;
    const auto* grant = std::get_if<claim_grant>(&*result);
    if (grant == nullptr) return;
    Services().release(grant->claim_id);
    Services().metrics.claim_ended(kClaimReleased);
  }

  void Replay(const claim_outcome& stored) {
    Services().metrics.claim_ended(kClaimReplayed);
    if (!stored.body_kept) {
      return Fail(MakeError(
          error_kind::outcome_unknown,
          absl::StrCat("the call ran and was answered with status ",
                       stored.http_status, "; its body was too large to keep"),
          run_state::ran));
    }
    LogEvent(log_level::info, "outcome_replayed",
             {{"request_id", QtText(request_.request_id)},
              {"route", QtText(request_.route.name)},
              {"status", stored.http_status}});
    Answer(stored.http_status,
           {{"content-type", stored.content_type},
            {"idempotency-replayed", "true"}},
           stored.body);
  }

  void Send() {
    std::optional<upstream_config> chosen =
        ChooseService(context_, request_.route, request_.request_id, tried_);
    if (!chosen) {
      return Fail(MakeError(error_kind::no_upstream,
                            "no service takes calls of this route"));
    }
    upstream_ = *std::move(chosen);
    if (const absl::Status allowed = CheckSend(); !allowed.ok()) {
      return Fail(allowed);
    }
    tried_.push_back(upstream_.name);
    Services().update(Active("service"));
    ++context_.service_calls[upstream_.name];
    in_upstream_ = true;
    http_handler handler;
    handler.on_done = [self = shared_from_this()](const http_result& result) {
      self->call_ = 0;
      self->EndUpstreamCall();
      if (!self->over_) self->TakeResult(result);
    };
    sent_ = true;
    call_ = context_.client->Start(MakeCall(), std::move(handler));
  }

  // The last check before the call leaves: a daemon that was paused since it
  // got the claim sends nothing.
  absl::Status CheckSend() const {
    const bool lease_valid = Services().may_act(owner_);
    if (claim_) {
      return CheckBeforeSend(
          *claim_, {MonotonicNow(), lease_valid, !caller_left_ && !cancelled_});
    }
    if (lease_valid) return absl::OkStatus();
    return MakeError(error_kind::lease_lost,
                     "this daemon was paused before it sent the call");
  }

  http_call MakeCall() const {
    http_call call;
    call.method = request_.inbound.method;
    call.address = upstream_.address;
    call.target = request_.inbound.path;
    if (!request_.inbound.query.empty()) {
      absl::StrAppend(&call.target, "?", request_.inbound.query);
    }
    call.headers = ForwardedRequestHeaders(request_.inbound.headers);
    call.headers.emplace_back("x-request-id", request_.request_id);
    if (claim_) AddFencing(call.headers);
    call.body = request_.inbound.body;
    call.repeatable = repeatable_;
    call.timeout = kServiceTimeout;
    return call;
  }

  void AddFencing(http_headers& headers) const {
    // In this order: a pause between the two clocks makes the expiry earlier.
    const absl::Time wall_now = WallNow();
    const absl::Time expires = wall_now + (claim_->send_by - MonotonicNow());
    headers.emplace_back("x-fencing-number",
                         absl::StrCat(claim_->fencing_number));
    headers.emplace_back("x-fencing-expires-ms",
                         absl::StrCat(absl::ToUnixMillis(expires)));
  }

  void EndUpstreamCall() {
    if (!in_upstream_) return;
    in_upstream_ = false;
    --context_.service_calls[upstream_.name];
  }

  void TakeResult(const http_result& result) {
    const bool broken = !result.status.ok();
    Services().report(upstream_.name, HealthOf(result));
    if (broken) return TakeFailure(result.status);
    const bool busy =
        result.http_status == kBadGateway || result.http_status == kUnavailable;
    may_have_run_ = true;
    if (busy && repeatable_ && Retry()) return;
    if (claim_ && !Conclude(result)) {
      return Fail(MakeError(error_kind::outcome_unknown,
                            "the upstream refused this call's fencing number"));
    }
    Answer(result.http_status, ForwardedAnswerHeaders(result.headers),
           result.body);
  }

  // Settles the claim by the upstream's answer; false when the answer speaks of
  // another holder of the key.
  bool Conclude(const http_result& result) {
    call_completion end;
    end.http_status = result.http_status;
    end.upstream_checks_fencing = upstream_.checks_fencing;
    if (DecideFollowUp(end) != claim_follow_up::settle) return false;
    claim_outcome outcome;
    outcome.http_status = result.http_status;
    outcome.content_type =
        std::string(HeaderValue(result.headers, "content-type"));
    outcome.body = result.body;
    Services().settle(claim_->claim_id, outcome);
    Services().metrics.claim_ended(kClaimSettled);
    concluded_ = true;
    return true;
  }

  void TakeFailure(const absl::Status& error) {
    const bool never_sent = RunStateOf(error) == run_state::not_run;
    if (never_sent) sent_ = false;
    if (!never_sent) may_have_run_ = true;
    if ((never_sent || repeatable_) && Retry()) return;
    if (never_sent || repeatable_) return Fail(error);
    Fail(MakeError(error_kind::outcome_unknown,
                   absl::StrCat("the call was sent to ", upstream_.name,
                                " and no answer came: ", error.message())));
  }

  void EndClaim() {
    if (!claim_ || concluded_) return;
    if (sent_) {
      Services().leave_unknown(claim_->claim_id);
      Services().metrics.claim_ended(kClaimUnknown);
    } else {
      Services().release(claim_->claim_id);
      Services().metrics.claim_ended(kClaimReleased);
    }
  }

  // Sends again elsewhere after a pause; false when that may not be.
  bool Retry() {
    if (tried_.size() >= kMaxAttempts) return false;
    const auto pause = TakeRetry(context_, request_.route.name,
                                 static_cast<int>(tried_.size()));
    LogEvent(log_level::info, "retry",
             {{"request_id", QtText(request_.request_id)},
              {"route", QtText(request_.route.name)},
              {"result", pause ? "paused" : "budget used up"}});
    if (!pause) return false;
    Services().metrics.retried(request_.route.name);
    RunAfter(context_.thread, *pause, [self = shared_from_this()] {
      if (!self->over_) self->Send();
    });
    return true;
  }

  void Answer(int status, http_headers headers, absl::string_view body) {
    if (!caller_left_ && !cancelled_) {
      headers.emplace_back("x-request-id", request_.request_id);
      exchange_->Respond(status, headers, body);
    }
    if (!cancelled_) {
      result_ = absl::StrCat(status);
      Services().metrics.ended(request_.route.name, status < kServerErrors
                                                        ? kResultOk
                                                        : kResultUpstreamError);
    }
    End();
  }

  // Without a claim it can't be said that an earlier attempt with the same key
  // did not run, nor that an upstream tried before the last one did not.
  absl::Status Honest(const absl::Status& error) const {
    const bool keyed = !repeatable_ && !key_.empty();
    const bool other_attempts = keyed && !claim_asked_;
    return other_attempts || may_have_run_ ? WithoutNotRun(error) : error;
  }

  void Fail(const absl::Status& refused) {
    if (over_) return;
    if (!cancelled_) RefuseCaller(Honest(refused));
    End();
  }

  void RefuseCaller(const absl::Status& error) {
    if (!caller_left_) RespondProblem(*exchange_, error, request_.request_id);
    result_ = std::string(ResultName(error));
    CountFailure(Services().metrics, request_.route.name, error);
  }

  void End() {
    if (over_) return;
    over_ = true;
    EndClaim();
    if (admitted_) Services().leave(request_.request_id);
    LogEvent(log_level::info, "request_ended",
             {{"request_id", QtText(request_.request_id)},
              {"route", QtText(request_.route.name)},
              {"upstream", QtText(upstream_.name)},
              {"result", QtText(result_)},
              {"ms", absl::ToDoubleMilliseconds(MonotonicNow() - started_)}});
  }

  flow_context& context_;
  service_request request_;
  std::shared_ptr<inbound_exchange> exchange_;
  bool repeatable_;
  std::string key_;
  // The run of this daemon that took the request in.
  std::string owner_;
  absl::Time started_;
  upstream_config upstream_;
  std::vector<std::string> tried_;
  std::optional<claim_grant> claim_;
  std::string result_ = "caller_left";
  http_client::call_id call_ = 0;
  bool admitted_ = false;
  // Whether what is known of the key comes from its claims.
  bool claim_asked_ = false;
  // Whether the claim was settled.
  bool concluded_ = false;
  // Whether a call left that an upstream may have read.
  bool sent_ = false;
  // Whether an upstream that was tried may have run the call.
  bool may_have_run_ = false;
  bool in_upstream_ = false;
  bool caller_left_ = false;
  // Whether an operator has cancelled the request, and its caller was told.
  bool cancelled_ = false;
  bool over_ = false;
};

}  // namespace

void StartServiceCall(flow_context& context, service_request request,
                      std::shared_ptr<inbound_exchange> exchange) {
  std::make_shared<service_flow>(context, std::move(request),
                                 std::move(exchange))
      ->Start();
}

}  // namespace anvilridge
