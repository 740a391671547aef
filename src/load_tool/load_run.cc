#include "load_tool/load_run.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "base/ids.h"
#include "upstreams/json_reader.h"
#include "upstreams/sse_parser.h"

namespace anvilridge {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNoContent = 299;
constexpr absl::string_view kCompletionsTarget = "/v1/completions";

http_call CompletionCall(const load_run_options& options,
                         const planned_request& planned) {
  http_call call;
  call.method = "POST";
  call.target = std::string(kCompletionsTarget);
  call.body = JsonText({{"model", ToQString(options.profile.completions.model)},
                        {"prompt", ToQString(planned.prompt)},
                        {"max_tokens", planned.max_tokens},
                        {"stream", true}});
  call.headers.emplace_back("content-type", "application/json");
  return call;
}

// Asks for the rest of a stream behind the last event that arrived.
http_call ResumeCall(const std::string& last_event_id) {
  http_call call;
  call.target = std::string(kCompletionsTarget);
  call.headers.emplace_back("last-event-id", last_event_id);
  return call;
}

http_call ServiceCall(const load_run_options& options,
                      const planned_request& planned) {
  http_call call;
  call.target = options.profile.services.path;
  if (planned.kind == load_kind::lookup) return call;
  call.method = "POST";
  call.body = "{\"fee\":1}";
  call.headers.emplace_back("content-type", "application/json");
  // A key carries its age in front.
  call.headers.emplace_back(
      "idempotency-key",
      absl::StrCat(absl::ToUnixSeconds(WallNow()), "-", NewId()));
  return call;
}

// Last part of a problem's type, which names the kind of error.
std::string ProblemName(absl::string_view body, int http_status) {
  const QJsonObject problem =
      QJsonDocument::fromJson(
          QByteArray(body.data(), static_cast<qsizetype>(body.size())))
          .object();
  const QString type = problem["type"].toString();
  if (type.isEmpty()) return absl::StrCat("http_", http_status);
  return type.section(QChar('/'), -1).section(QChar(':'), -1).toStdString();
}

// One request in progress.
struct load_call {
  planned_request planned;
  request_sample sample;
  http_client::call_id id = 0;
  sse_parser parser;
  absl::Time sent;
  absl::Time last_token;
  int http_status = 0;
  std::string body;
  bool done_seen = false;
  /// Id of the last token's event, to resume behind.
  std::string last_event_id;
  std::vector<size_t> daemons_left;
  bool over = false;
};

using call_ptr = std::shared_ptr<load_call>;

http_call NextCall(const load_run_options& options, const load_call& call) {
  if (call.planned.kind != load_kind::completion) {
    return ServiceCall(options, call.planned);
  }
  if (!call.last_event_id.empty()) return ResumeCall(call.last_event_id);
  return CompletionCall(options, call.planned);
}

// A stream that broke off behind a token can go on through another daemon, as
// a caller's client would do.
bool CanResume(const load_call& call) {
  return call.planned.kind == load_kind::completion && !call.done_seen &&
         !call.last_event_id.empty() && !call.daemons_left.empty();
}

void PrepareResume(load_call& call) {
  ++call.sample.resumes;
  call.sample.error.clear();
  call.parser = sse_parser();
  call.http_status = 0;
  call.body.clear();
}

}  // namespace

struct load_run::impl {
  http_client& client;
  load_run_options options;
  QObject context;
  std::mt19937_64 random;
  std::vector<planned_request> plan;
  size_t next = 0;
  size_t running = 0;
  absl::Time started;
  std::vector<request_sample> samples;
  callback done;

  impl(http_client& http, load_run_options run)
      : client(http), options(std::move(run)), random(options.seed) {}

  void SendDue() {
    const absl::Time now = MonotonicNow();
    while (next < plan.size() && started + plan[next].at <= now) {
      Begin(std::move(plan[next++]));
    }
    if (next == plan.size()) return EndIfIdle();
    RunAfter(&context, started + plan[next].at - now, [this] { SendDue(); });
  }

  void Begin(planned_request planned) {
    ++running;
    auto call = std::make_shared<load_call>();
    call->sample.kind = planned.kind;
    call->sample.at = planned.at;
    // Lateness of the load generator counts as the request's own latency.
    call->sent = started + planned.at;
    call->planned = std::move(planned);
    for (size_t i = 0; i < options.daemons.size(); ++i) {
      call->daemons_left.push_back(i);
    }
    std::shuffle(call->daemons_left.begin(), call->daemons_left.end(), random);
    RunAfter(&context, options.profile.targets.deadline, [this, call] {
      if (call->over) return;
      client.Cancel(call->id);
      Fail(call, "deadline");
    });
    Send(call);
  }

  void Send(const call_ptr& call) {
    http_call http = NextCall(options, *call);
    http.address = options.daemons[call->daemons_left.back()];
    call->daemons_left.pop_back();
    http.headers.emplace_back("authorization",
                              absl::StrCat("Bearer ", options.key));
    http_handler handler;
    handler.on_headers = [call](int status, const http_headers&) {
      call->http_status = status;
    };
    handler.on_data = [this, call](absl::string_view bytes) {
      TakeBytes(call, bytes);
    };
    handler.on_done = [this, call](const http_result& result) {
      if (!call->over) TakeEnd(call, result);
    };
    call->id = client.Start(std::move(http), std::move(handler));
  }

  void TakeBytes(const call_ptr& call, absl::string_view bytes) {
    const bool streams = call->planned.kind == load_kind::completion &&
                         call->http_status == kHttpOk;
    if (!streams) {
      call->body.append(bytes.data(), bytes.size());
      return;
    }
    (void)FeedSse(call->parser, bytes, [call](const sse_event& event) {
      if (event.event == "error") {
        call->sample.error = ProblemName(event.data, call->http_status);
      } else if (event.data == "[DONE]") {
        call->done_seen = true;
      } else if (!event.id.empty()) {
        TakeToken(*call, event.id);
      }
    });
  }

  static void TakeToken(load_call& call, const std::string& event_id) {
    call.last_event_id = event_id;
    const absl::Time now = MonotonicNow();
    if (call.sample.tokens == 0) {
      call.sample.first_token = now - call.sent;
    } else {
      call.sample.gaps.push_back(now - call.last_token);
    }
    call.last_token = now;
    ++call.sample.tokens;
  }

  void TakeEnd(const call_ptr& call, const http_result& result) {
    const bool unsent = result.http_status == 0 && call->sample.tokens == 0 &&
                        call->planned.kind != load_kind::posting;
    if (unsent && !call->daemons_left.empty()) {
      ++call->sample.failed_connections;
      return Send(call);
    }
    if (CanResume(*call)) {
      PrepareResume(*call);
      return Send(call);
    }
    if (result.http_status == 0) return Fail(call, "connection");
    if (call->http_status < kHttpOk || call->http_status > kHttpNoContent) {
      if (!result.status.ok()) return Fail(call, "cut");
      call->sample.error = ProblemName(call->body, call->http_status);
      return End(call, load_result::refused);
    }
    if (call->planned.kind != load_kind::completion) {
      return result.status.ok() ? End(call, load_result::whole)
                                : Fail(call, "cut");
    }
    if (call->done_seen && call->sample.error.empty()) {
      return End(call, load_result::whole);
    }
    Fail(call, call->sample.error.empty() ? "cut" : call->sample.error);
  }

  void Fail(const call_ptr& call, const std::string& error) {
    call->sample.error = error;
    End(call, load_result::failed);
  }

  void End(const call_ptr& call, load_result result) {
    call->over = true;
    call->sample.result = result;
    call->sample.total = MonotonicNow() - call->sent;
    samples.push_back(std::move(call->sample));
    --running;
    EndIfIdle();
  }

  void EndIfIdle() {
    if (running > 0 || next < plan.size() || !done) return;
    PostTo(&context, [finish = std::exchange(done, nullptr),
                      all = std::move(samples)] { finish(all); });
  }
};

load_run::load_run(http_client& client, load_run_options options)
    : impl_(std::make_unique<impl>(client, std::move(options))) {}

load_run::~load_run() = default;

void load_run::Start(std::vector<planned_request> plan, callback done) {
  impl_->plan = std::move(plan);
  impl_->done = std::move(done);
  impl_->started = MonotonicNow();
  impl_->SendDue();
}

}  // namespace anvilridge
