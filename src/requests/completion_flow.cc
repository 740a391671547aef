#include "requests/completion_flow.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "log/decision_log.h"
#include "requests/answer_writer.h"
#include "upstreams/engine_client.h"
#include "upstreams/sse_parser.h"

namespace anvilridge {
namespace {

// Longest time past its prediction that a prefill may take.
constexpr absl::Duration kPrefillSlack = absl::Seconds(3);
constexpr absl::Duration kImportTimeout = absl::Seconds(2);
// A decode stream without a token for this long is stalled.
constexpr absl::Duration kDecodeStall = absl::Seconds(2);
// Pause before an import that found no free place is ordered again.
constexpr absl::Duration kImportRetryPause = absl::Milliseconds(20);
// Attempts over different engines before the request is given up.
constexpr int kMaxAttempts = 3;
// Attachments to one decode stream before its engine is given up.
constexpr int kMaxAttachments = 4;
constexpr absl::Duration kFirstAttachPause = absl::Milliseconds(50);
// How long a started answer is kept for a caller that may come back.
constexpr absl::Duration kResumeGrace = absl::Seconds(2);

QString Text(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<int>(text.size()));
}

// One message of an engine's decode stream.
struct decode_message {
  enum class kinds { token, done, fenced, foreign, malformed };
  kinds kind = kinds::malformed;
  int index = 0;
  std::string token;
};

decode_message ParseDecodeMessage(const sse_event& event,
                                  absl::string_view request_id) {
  decode_message message;
  const QJsonObject object =
      QJsonDocument::fromJson(QByteArray::fromStdString(event.data)).object();
  const QJsonValue id = object["request_id"];
  if (id.isString() && id.toString() != Text(request_id)) {
    message.kind = decode_message::kinds::foreign;
  } else if (object["fenced"].toBool()) {
    message.kind = decode_message::kinds::fenced;
  } else if (object["done"].toBool()) {
    message.kind = decode_message::kinds::done;
    message.index = object["tokens"].toInt(-1);
  } else if (object["token"].isString() && object["index"].isDouble()) {
    message.kind = decode_message::kinds::token;
    message.index = object["index"].toInt();
    message.token = object["token"].toString().toStdString();
  }
  return message;
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
    Admit([self = shared_from_this()] { self->Place(); });
  }

  void Resume(const resume_token& token, const placed_engine& engine) {
    started_ = MonotonicNow();
    writer_.next_index = token.index + 1;
    engine_request_id_ = token.request_id;
    grant_.decode = engine;
    grant_.owner = services().owner();
    WatchCaller();
    Admit([self = shared_from_this()] { self->FindCurrentOwner(); });
  }

 private:
  const request_services& services() const { return *context_.services; }

  active_request Active(absl::string_view stage) const {
    return {request_.request_id, request_.caller.team, request_.route,
            std::string(stage),  grant_.decode.name,   started_};
  }

  void Admit(std::function<void()> next) {
    services().admit(Active("admission"),
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
    ++attempts_;
    SetStage("placement");
    place_request ask;
    engine_request_id_ = absl::StrCat(request_.request_id, ".", attempts_);
    ask.request_id = engine_request_id_;
    ask.team = request_.caller.team;
    ask.route = request_.route;
    ask.prompt_tokens = EstimateTokens(request_.body.prompt);
    ask.max_tokens = request_.body.max_tokens;
    ask.prefix_hashes = PromptPrefixHashes(request_.body.prompt);
    ask.first_token_due = started_ + FirstTokenTarget();
    ask.avoid = avoid_;
    services().place(
        ask, [self = shared_from_this()](absl::StatusOr<place_grant> grant) {
          self->TakeGrant(std::move(grant));
        });
  }

  absl::Duration FirstTokenTarget() const {
    const std::shared_ptr<const config_state> config = services().config();
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
    if (!services().may_act(grant_.owner)) {
      return Fail(MakeError(error_kind::lease_lost, "paused past the lease"));
    }
    Prefill();
  }

  void Prefill() {
    SetStage("prefill");
    prefill_call call;
    call.request_id = engine_request_id_;
    call.owner = grant_.owner;
    call.model = request_.body.model;
    call.prompt = request_.body.prompt;
    call.max_tokens = request_.body.max_tokens;
    sent_to_engine_ = true;
    prefill_sent_ = true;
    prefill_started_ = MonotonicNow();
    call_ = StartPrefill(
        *context_.client, grant_.prefill.address, call,
        grant_.predicted_first_token + kPrefillSlack,
        [self = shared_from_this()](absl::StatusOr<prefill_result> result) {
          self->call_ = 0;
          if (!self->over_) self->TakePrefill(std::move(result));
        });
  }

  void TakePrefill(absl::StatusOr<prefill_result> result) {
    if (!result.ok()) {
      outcome_.prefill_failed = true;
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
    import_call call;
    call.request_id = engine_request_id_;
    call.owner = grant_.owner;
    call.source = grant_.prefill.address;
    call.kv_handle = prefill_.kv_handle;
    call.prompt = request_.body.prompt;
    call.pieces = prefill_.pieces;
    call.prompt_tokens = prefill_.prompt_tokens;
    call.max_tokens = request_.body.max_tokens;
    import_sent_ = true;
    call_ = StartImport(
        *context_.client, grant_.decode.address, call, kImportTimeout,
        [self = shared_from_this()](const absl::StatusOr<std::string>& result) {
          self->call_ = 0;
          if (!self->over_) self->TakeImport(result.status());
        });
  }

  void TakeImport(const absl::Status& result) {
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
    outcome_.decode_failed = !refused;
    RetryElsewhere(result, grant_.decode.name);
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
    if (!services().may_act(grant_.owner)) {
      return Fail(MakeError(error_kind::lease_lost, "paused past the lease",
                            run_state::unknown));
    }
    ++attachments_;
    progressed_ = false;
    parser_ = sse_parser();
    outcome_.decode_started = true;
    call_ = StartDecode(
        *context_.client, grant_.decode.address, engine_request_id_,
        grant_.owner, writer_.next_index, kDecodeStall,
        [self = shared_from_this()](absl::string_view bytes) {
          self->TakeBytes(bytes);
        },
        [self = shared_from_this()](const absl::Status& ended) {
          self->call_ = 0;
          if (!self->over_) self->StreamBroke(ended);
        });
  }

  void TakeBytes(absl::string_view bytes) {
    if (over_ || writer_.ended) return;
    const absl::Status fed =
        FeedSse(parser_, bytes, [this](const sse_event& event) {
          if (!over_) TakeEvent(event);
        });
    if (!fed.ok() && !over_) Fail(fed);
  }

  void TakeEvent(const sse_event& event) {
    const decode_message message =
        ParseDecodeMessage(event, engine_request_id_);
    using kinds = decode_message::kinds;
    if (message.kind == kinds::foreign || message.kind == kinds::malformed) {
      LogEvent(log_level::warn, "foreign_answer_dropped",
               {{"request_id", Text(request_.request_id)},
                {"upstream", Text(grant_.decode.name)}});
      return;
    }
    if (message.kind == kinds::fenced) {
      fenced_ = true;
      return Fail(MakeError(error_kind::resume_fenced,
                            "a later connection took this stream over"));
    }
    if (message.kind == kinds::done) return TakeDone(message.index);
    TakeToken(message);
  }

  void TakeToken(const decode_message& message) {
    progressed_ = true;
    const resume_token place{engine_request_id_, grant_.decode.name,
                             message.index};
    const std::string event_id = FormatResumeToken(place, request_.caller.team,
                                                   services().deployment_key);
    const absl::Status written =
        WriteToken(writer_, message.index, message.token, event_id);
    if (!written.ok()) Fail(written);
  }

  void TakeDone(int tokens) {
    if (tokens != writer_.next_index) {
      return Fail(
          MakeError(error_kind::upstream_failed,
                    absl::StrCat("the engine ended after ", tokens, " tokens, ",
                                 writer_.next_index, " arrived")));
    }
    outcome_.decode_finished = true;
    FinishAnswer(writer_);
    End(absl::OkStatus());
  }

  // The engine keeps a stream whose connection broke, so it is attached again
  // from the next token before the engine is given up.
  void StreamBroke(const absl::Status& ended) {
    if (writer_.ended) return;
    const absl::Status why =
        ended.ok() ? MakeError(error_kind::upstream_failed,
                               "the stream ended before its last token")
                   : ended;
    if (progressed_) attachments_ = 0;
    const bool gone = KindOf(why) == error_kind::upstream_refused;
    if (!gone && attachments_ < kMaxAttachments) {
      const absl::Duration pause = kFirstAttachPause * (1 << attachments_);
      RunAfter(context_.thread, pause, [self = shared_from_this()] {
        if (!self->over_ && !self->writer_.ended) self->Decode();
      });
      return;
    }
    outcome_.decode_failed = true;
    RetryElsewhere(why, grant_.decode.name);
  }

  // Frees what the attempt holds and starts over at other engines, as long as
  // no token has reached the caller.
  void RetryElsewhere(const absl::Status& why, const std::string& engine) {
    LogEvent(log_level::warn, "attempt_failed",
             {{"request_id", Text(request_.request_id)},
              {"stage", Text(stage_)},
              {"upstream", Text(engine)},
              {"kind", Text(AnswerFor(KindOf(why)).name)},
              {"detail", Text(why.message())}});
    CancelAtEngines();
    FinishPlacement();
    avoid_.push_back(engine);
    if (writer_.next_index > 0 || attempts_ >= kMaxAttempts || resumed_) {
      return Fail(why);
    }
    attachments_ = 0;
    Place();
  }

  // A resumed stream belongs to the daemon that held it before, until the
  // engine hands it over.
  void FindCurrentOwner() {
    SetStage("resume");
    resumed_ = true;
    ListEngineRequests(*context_.client, grant_.decode.address,
                       [self = shared_from_this()](
                           absl::StatusOr<std::vector<engine_request>> listed) {
                         if (self->over_) return;
                         if (!listed.ok()) return self->Fail(listed.status());
                         self->Adopt(*listed);
                       });
  }

  void Adopt(const std::vector<engine_request>& listed) {
    const auto row = std::find_if(listed.begin(), listed.end(),
                                  [this](const engine_request& r) {
                                    return r.request_id == engine_request_id_;
                                  });
    // A finished request has no owner any more, but its output is kept.
    if (row == listed.end()) return Decode();
    import_sent_ = true;
    AdoptEngineRequest(*context_.client, grant_.decode.address,
                       engine_request_id_, row->owner, grant_.owner,
                       [self = shared_from_this()](absl::StatusOr<bool> done) {
                         if (self->over_) return;
                         if (!done.ok()) return self->Fail(done.status());
                         self->Decode();
                       });
  }

  void SetStage(absl::string_view stage) {
    stage_ = std::string(stage);
    services().update(Active(stage));
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

  void Cancel(const placed_engine& engine) {
    services().cancel(
        {engine_request_id_, grant_.owner, engine.name, engine.address});
  }

  void StopCall() {
    if (call_ != 0) context_.client->Cancel(call_);
    call_ = 0;
  }

  void FinishPlacement() {
    if (grant_.decode.name.empty()) return;
    outcome_.request_id = engine_request_id_;
    outcome_.prefill = grant_.prefill;
    outcome_.decode = grant_.decode;
    services().finish(outcome_);
    outcome_ = place_outcome();
    placed_ = false;
  }

  void Fail(const absl::Status& error) {
    if (over_) return;
    absl::Status shown = error;
    // Once an engine was asked, it can't be said that nothing ran.
    if (sent_to_engine_ && RunStateOf(error) == run_state::not_run) {
      shown = MakeError(KindOf(error), error.message(), run_state::unknown,
                        RetryAfterOf(error));
    }
    FailAnswer(writer_, shown);
    End(shown);
  }

  void End(const absl::Status& why) {
    if (over_) return;
    over_ = true;
    if (!placed_ && attempts_ > 0) services().abandon(engine_request_id_);
    CancelAtEngines();
    if (placed_ || resumed_) FinishPlacement();
    if (admitted_) Leave();
    LogEvent(log_level::info, "request_ended",
             {{"request_id", Text(request_.request_id)},
              {"stage", Text(stage_)},
              {"tokens", writer_.next_index},
              {"result", why.ok() ? "ok" : Text(AnswerFor(KindOf(why)).name)},
              {"ms", absl::ToDoubleMilliseconds(MonotonicNow() - started_)}});
  }

  void Leave() { services().leave(request_.request_id); }

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
  sse_parser parser_;
  std::vector<std::string> avoid_;
  http_client::call_id call_ = 0;
  int attempts_ = 0;
  int attachments_ = 0;
  bool admitted_ = false;
  bool placed_ = false;
  bool resumed_ = false;
  bool progressed_ = false;
  bool fenced_ = false;
  // Whether any engine was asked to work for this request.
  bool sent_to_engine_ = false;
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
