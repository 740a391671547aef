#include "soak/soak_callers.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "http1/channel_client.h"
#include "soak/soak_checks.h"
#include "soak/soak_config.h"
#include "soak/soak_teams.h"

namespace anvilridge {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
// Of a hundred requests.
constexpr int kPostings = 45;
constexpr int kStreams = 20;
// Of a hundred streams, those whose callers leave, and when.
constexpr int kLeaving = 15;
// Of a hundred streams, those whose prompts crash engines, and the number of
// parts that the others have in common.
constexpr int kDeadly = 10;
constexpr int kSharedParts = 50;
// Tokens of a stream's prompt and the most of its answer.
constexpr int kPromptTokens = 100;
constexpr int kOutputTokens = 300;
constexpr int kVariedOutputTokens = 1200;
constexpr int kLeaveAfterMs = 200;
constexpr int kLeaveWithinMs = 1000;
// What varied requests take at their upstreams; most take little.
constexpr int kLeastWorkMs = 100;
constexpr int kMostWorkMs = 6000;
constexpr std::array kLimits = {absl::Seconds(1), absl::Seconds(2),
                                absl::Seconds(5), absl::Seconds(10),
                                absl::Seconds(20)};
constexpr absl::Duration kProbeTime = absl::Seconds(2);

struct probe_in_progress {
  config_probe probe;
  int answers_due = 0;
};

http_call CallTo(uint16_t port, std::string target, const std::string& id) {
  http_call call;
  call.address = absl::StrCat("127.0.0.1:", port);
  call.target = std::move(target);
  call.headers = {{"host", "a.example"}, {"request-id", id}};
  return call;
}

}  // namespace

struct soak_callers::impl {
  impl(uint64_t seed, bool draws_more, bool crashing, soak_record& into,
       std::function<caller_target(uint64_t)> pick_target)
      : random(seed),
        varied(draws_more),
        crashing_prompts(crashing),
        record(into),
        pick(std::move(pick_target)) {}

  std::mt19937_64 random;
  bool varied = false;
  bool crashing_prompts = false;
  soak_record& record;
  std::function<caller_target(uint64_t)> pick;
  channel_client client;
  // Of requests that open a connection each.
  channel_client new_connections;
  QObject context;
  int probes = 0;

  int Draw(int below) {
    return static_cast<int>(random() % static_cast<uint64_t>(below));
  }

  // Draws the parts of a stream's prompt.
  void DrawParts(caller_record& caller, http_call& call) {
    caller.deadly = Draw(100) < kDeadly;
    const std::string shared =
        caller.deadly ? std::string(kDeadlyPart)
                      : absl::StrCat(absl::Hex(Draw(kSharedParts)));
    call.headers.emplace_back(
        "prompt-prefix",
        absl::StrCat(kFirstPart, ":20,", shared, ":40,",
                     absl::Hex(record.callers.size() + 0x10000), ":40"));
  }

  int OutputTokens() const {
    return varied ? kVariedOutputTokens : kOutputTokens;
  }

  // Draws the caller's team and key.
  void AddCredential(caller_record& caller, http_call& call) {
    const int latest =
        record.configs.empty() ? 1 : record.configs.back().version;
    caller.tokens = caller.kind == request_kind::stream
                        ? kPromptTokens + OutputTokens()
                        : kPlainTokens;
    // Half of the callers whose key changes have the latest one.
    const int version = Draw(2) == 0 ? latest : 1 + Draw(latest);
    const std::string key = DrawCredential(caller, Draw(100), version, latest);
    if (key.empty()) return;
    call.headers.emplace_back("authorization", absl::StrCat("Token ", key));
  }

  // Draws the rest of a varied request, to `target` on the upstream.
  void Vary(caller_record& caller, http_call& call) {
    const double share = Draw(1000) / 1000.0;
    const int work_ms =
        kLeastWorkMs +
        static_cast<int>((kMostWorkMs - kLeastWorkMs) * std::pow(share, 3));
    caller.work = absl::Milliseconds(work_ms);
    if (caller.kind == request_kind::stream) {
      caller.work = EventsWithin(caller.work) * kEventGap;
    }
    caller.limit = kLimits.at(Draw(static_cast<int>(kLimits.size())));
    const bool once = caller.kind == request_kind::stream && Draw(2) == 0;
    call.target =
        absl::StrCat(once                                   ? "/once/"
                     : caller.kind == request_kind::stream  ? "/draft/"
                     : caller.kind == request_kind::posting ? "/post/"
                                                            : "/read/",
                     work_ms);
    call.headers.emplace_back(
        "deadline-ms", absl::StrCat(absl::ToInt64Milliseconds(*caller.limit)));
  }

  void Send(size_t index, http_call call) {
    const bool opens = varied && Draw(2) == 0;
    channel_client& over = opens ? new_connections : client;
    if (opens) over.Forget(call.address);
    http_handler handler;
    handler.on_headers = [this, index](int status,
                                       const http_headers& headers) {
      record.callers[index].status = status;
      record.callers[index].retry_after =
          std::string(HeaderValue(headers, "retry-after"));
    };
    handler.on_data = [this, index](absl::string_view bytes) {
      absl::StrAppend(&record.callers[index].body, bytes);
    };
    handler.on_done = [this, index](const http_result& result) {
      record.callers[index].ended = MonotonicNow();
      record.callers[index].whole = result.status.ok();
      record.callers[index].sent =
          result.status.ok() || result.http_status != 0 ||
          RunStateOf(result.status) != run_state::not_run;
    };
    const auto id = over.Start(std::move(call), std::move(handler));
    const bool leaves = record.callers[index].kind == request_kind::stream &&
                        Draw(100) < kLeaving;
    if (!leaves) return;
    RunAfter(&context, absl::Milliseconds(kLeaveAfterMs + Draw(kLeaveWithinMs)),
             [this, index, id, &over] {
               caller_record& caller = record.callers[index];
               if (caller.ended < absl::InfiniteFuture()) return;
               caller.left = MonotonicNow();
               over.Cancel(id);
             });
  }
};

soak_callers::soak_callers(uint64_t seed, bool varied, bool crashing_prompts,
                           soak_record& record,
                           std::function<caller_target(uint64_t)> pick)
    : impl_(std::make_unique<impl>(seed, varied, crashing_prompts, record,
                                   std::move(pick))) {}

soak_callers::~soak_callers() = default;

void soak_callers::Ask() {
  const int kind = impl_->Draw(100);
  const caller_target target = impl_->pick(impl_->random());
  if (target.port == 0) return;
  const size_t index = impl_->record.callers.size();
  caller_record caller;
  caller.id = absl::StrCat("r", index);
  caller.daemon = target.daemon;
  caller.began = MonotonicNow();
  http_call call = CallTo(target.port, "/read/1", caller.id);
  if (kind < kPostings) {
    caller.kind = request_kind::posting;
    call.method = "POST";
    call.target = "/post/1";
    call.body = "fee";
  } else if (kind < kPostings + kStreams) {
    caller.kind = request_kind::stream;
    call.method = "POST";
    call.target = "/draft/1";
    call.body = "text";
    // The prompt's, and the most that the answer may have.
    call.headers.emplace_back(
        "token-count", absl::StrCat(kPromptTokens, ",", impl_->OutputTokens()));
    if (impl_->crashing_prompts) impl_->DrawParts(caller, call);
  }
  if (impl_->varied) impl_->Vary(caller, call);
  if (impl_->record.teams) impl_->AddCredential(caller, call);
  impl_->record.callers.push_back(std::move(caller));
  impl_->Send(index, std::move(call));
}

void soak_callers::Probe(const caller_target& target, int starts, int latest) {
  const auto asked = std::make_shared<probe_in_progress>();
  asked->probe.daemon = target.daemon;
  asked->probe.asked = MonotonicNow();
  asked->probe.starts = starts;
  asked->answers_due = latest;
  for (int version = 1; version <= latest; ++version) {
    http_call call = CallTo(target.port, absl::StrCat("/v", version, "/"),
                            absl::StrCat("probe", ++impl_->probes));
    call.timeout = kProbeTime;
    http_handler handler;
    handler.on_done = [this, asked, version](const http_result& result) {
      if (result.http_status != 0 && result.http_status != kNotFound) {
        asked->probe.version = std::max(asked->probe.version, version);
      }
      if (--asked->answers_due > 0) return;
      asked->probe.answered = MonotonicNow();
      impl_->record.probes.push_back(asked->probe);
    };
    impl_->client.Start(std::move(call), std::move(handler));
  }
}

void soak_callers::AskReady(uint16_t port, std::function<void(bool)> done) {
  http_call call = CallTo(port, "/readyz", "ready");
  call.timeout = kProbeTime;
  http_handler handler;
  handler.on_done = [done = std::move(done)](const http_result& result) {
    done(result.http_status == kOk);
  };
  impl_->client.Start(std::move(call), std::move(handler));
}

}  // namespace anvilridge
