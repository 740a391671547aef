#include "soak/soak_callers.h"

#include <random>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "http1/channel_client.h"

namespace anvilridge {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
// Of a hundred requests.
constexpr int kPostings = 45;
constexpr int kStreams = 20;
// Of a hundred streams, those whose callers leave, and when.
constexpr int kLeaving = 15;
constexpr int kLeaveAfterMs = 200;
constexpr int kLeaveWithinMs = 1000;
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
  impl(uint64_t seed, soak_record& into,
       std::function<caller_target(uint64_t)> pick_target)
      : random(seed), record(into), pick(std::move(pick_target)) {}

  std::mt19937_64 random;
  soak_record& record;
  std::function<caller_target(uint64_t)> pick;
  channel_client client;
  QObject context;
  int probes = 0;

  int Draw(int below) {
    return static_cast<int>(random() % static_cast<uint64_t>(below));
  }

  void Send(size_t index, http_call call) {
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
    };
    const auto id = client.Start(std::move(call), std::move(handler));
    const bool leaves = record.callers[index].kind == request_kind::stream &&
                        Draw(100) < kLeaving;
    if (!leaves) return;
    RunAfter(&context, absl::Milliseconds(kLeaveAfterMs + Draw(kLeaveWithinMs)),
             [this, index, id] {
               caller_record& caller = record.callers[index];
               if (caller.ended < absl::InfiniteFuture()) return;
               caller.left = MonotonicNow();
               client.Cancel(id);
             });
  }
};

soak_callers::soak_callers(uint64_t seed, soak_record& record,
                           std::function<caller_target(uint64_t)> pick)
    : impl_(std::make_unique<impl>(seed, record, std::move(pick))) {}

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
    call.headers.emplace_back("token-count", "100,300");
  }
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
