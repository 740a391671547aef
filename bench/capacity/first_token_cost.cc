// What a daemon adds to the first token, against the same three engine calls
// made directly: first_token_cost REQUESTS PROMPT_BYTES
// Requests go one after the other, in turn through the daemon and directly, so
// that neither waits for another at the engines.
#include <QCoreApplication>
#include <QEventLoop>
#include <algorithm>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "base/ids.h"
#include "bench_meter.h"
#include "harness/fleet.h"
#include "upstreams/engine_client.h"
#include "upstreams/json_reader.h"

namespace anvilridge {
namespace {

constexpr int kTokens = 2;
constexpr absl::Duration kTimeout = absl::Seconds(10);
constexpr absl::Duration kPause = absl::Milliseconds(60);
constexpr char kDirectOwner[] = "direct:1";

double PercentileMs(std::vector<absl::Duration> times, double share) {
  if (times.empty()) return 0;
  std::sort(times.begin(), times.end());
  const auto last = static_cast<double>(times.size() - 1);
  return absl::ToDoubleMilliseconds(
      times[static_cast<size_t>(std::lround(share * last))]);
}

/// Sends the requests and keeps the time to each first token.
class first_token_probe {
 public:
  first_token_probe(const fleet& all, int requests, int prompt_bytes)
      : fleet_(all), left_(requests), prompt_bytes_(prompt_bytes) {}

  void Run() {
    Next();
    loop_.exec();
  }

  const std::vector<absl::Duration>& Through() const { return through_; }
  const std::vector<absl::Duration>& Direct() const { return direct_; }
  int Failed() const { return failed_; }

 private:
  void Next() {
    if (left_-- == 0) return loop_.quit();
    // Unlike the one before in its first block, so that no cache serves it.
    prompt_ = absl::StrCat(NewId(), " ");
    prompt_.resize(prompt_bytes_, 'x');
    through_daemon_ = !through_daemon_;
    seen_ = false;
    started_ = MonotonicNow();
    if (through_daemon_) return AskDaemon();
    request_id_ = NewId();
    Prefill();
  }

  void TakeBytes() {
    if (seen_) return;
    seen_ = true;
    auto& times = through_daemon_ ? through_ : direct_;
    times.push_back(MonotonicNow() - started_);
  }

  void End(const absl::Status& status) {
    if (!status.ok() || !seen_) ++failed_;
    RunAfter(&context_, kPause, [this] { Next(); });
  }

  void AskDaemon() {
    http_call call;
    call.method = "POST";
    call.address = absl::StrCat("127.0.0.1:", fleet_.daemons[0].caller);
    call.target = "/v1/completions";
    call.body = JsonText(fleet::Completion(prompt_, kTokens));
    call.headers = {{"content-type", "application/json"}};
    for (const auto& [name, value] : fleet_.Caller()) {
      call.headers.emplace_back(name, value);
    }
    http_handler handler;
    handler.on_data = [this](absl::string_view) { TakeBytes(); };
    handler.on_done = [this](const http_result& result) { End(result.status); };
    client_.Start(std::move(call), std::move(handler));
  }

  void Prefill() {
    prefill_call call;
    call.request_id = request_id_;
    call.owner = kDirectOwner;
    call.model = "model";
    call.prompt = prompt_;
    call.max_tokens = kTokens;
    StartPrefill(client_, fleet_.prefill[0].Address(), call, kTimeout,
                 [this](const absl::StatusOr<prefill_result>& result) {
                   if (!result.ok()) return End(result.status());
                   Import(*result);
                 });
  }

  void Import(const prefill_result& result) {
    import_call call;
    call.request_id = request_id_;
    call.owner = kDirectOwner;
    call.source = fleet_.prefill[0].Address();
    call.kv_handle = result.kv_handle;
    call.prompt = prompt_;
    call.pieces = result.pieces;
    call.prompt_tokens = result.prompt_tokens;
    call.max_tokens = kTokens;
    StartImport(client_, fleet_.decode[0].Address(), call, kTimeout,
                [this](const absl::StatusOr<std::string>& imported) {
                  if (!imported.ok()) return End(imported.status());
                  Decode();
                });
  }

  void Decode() {
    StartDecode(
        client_, fleet_.decode[0].Address(), request_id_, kDirectOwner, 0,
        kTimeout, [this](absl::string_view) { TakeBytes(); },
        [this](const absl::Status& status) { End(status); });
  }

  const fleet& fleet_;
  int left_;
  size_t prompt_bytes_;
  QObject context_;
  QEventLoop loop_;
  http_client client_;
  std::string prompt_;
  std::string request_id_;
  absl::Time started_;
  bool through_daemon_ = false;
  bool seen_ = false;
  std::vector<absl::Duration> through_;
  std::vector<absl::Duration> direct_;
  int failed_ = 0;
};

int Run(int requests, int prompt_bytes) {
  fleet_options options;
  options.daemons = 4;
  const fleet all(options);
  absl::SleepFor(absl::Seconds(2));
  first_token_probe probe(all, requests, prompt_bytes);
  probe.Run();
  QJsonObject line{{"bench", "first_token_cost"},
                   {"requests_each", requests / 2},
                   {"prompt_bytes", prompt_bytes},
                   {"failed", probe.Failed()}};
  for (const double share : {0.5, 0.95, 0.99}) {
    const double through = PercentileMs(probe.Through(), share);
    const double direct = PercentileMs(probe.Direct(), share);
    const std::string rank = absl::StrCat("p", 100 * share);
    line[ToQString(rank + "_through_daemon_ms")] = through;
    line[ToQString(rank + "_direct_ms")] = direct;
    line[ToQString(rank + "_added_ms")] = through - direct;
  }
  PrintLine(line);
  return probe.Failed() == 0 ? 0 : 1;
}

}  // namespace
}  // namespace anvilridge

int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  return anvilridge::Run(anvilridge::SizeArgument(argc, argv, 1, 400),
                         anvilridge::SizeArgument(argc, argv, 2, 2000));
}
