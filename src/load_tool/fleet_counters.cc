#include "load_tool/fleet_counters.h"

#include <QJsonDocument>
#include <algorithm>
#include <memory>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kReadTimeout = absl::Seconds(5);
constexpr char kCpuMetric[] = "process_cpu_seconds_total";
constexpr char kPeerBytesMetric[] = "anvil_peer_bytes_total";

http_call Get(const std::string& address, const char* target) {
  http_call call;
  call.address = address;
  call.target = target;
  call.repeatable = true;
  call.timeout = kReadTimeout;
  return call;
}

// One reading in progress; ends when the last answer drops its reference.
struct reading {
  fleet_counters counters;
  std::function<void(fleet_counters)> done;

  ~reading() { done(counters); }
};

}  // namespace

void AddEngineTotals(engine_counters& counters, const QJsonObject& totals) {
  counters.prefilled_tokens += totals["prefilled_tokens"].toDouble();
  counters.evicted_tokens += totals["evicted_tokens"].toDouble();
  counters.cancelled_tokens += totals["cancelled_tokens"].toDouble();
  counters.generated_tokens += totals["generated_tokens"].toDouble();
  ++counters.engines_read;
}

void AddDaemonMetrics(daemon_counters& counters, absl::string_view text) {
  for (const absl::string_view line : absl::StrSplit(text, '\n')) {
    const std::pair<absl::string_view, absl::string_view> parts =
        absl::StrSplit(line, absl::MaxSplits(' ', 1));
    double value = 0;
    if (!absl::SimpleAtod(parts.second, &value)) continue;
    if (parts.first == kCpuMetric) counters.cpu_seconds += value;
    if (absl::StartsWith(parts.first, kPeerBytesMetric)) {
      counters.control_bytes += value;
    }
  }
  ++counters.daemons_read;
}

void ReadCounters(http_client& client, const counter_sources& sources,
                  std::function<void(fleet_counters)> done) {
  auto all = std::make_shared<reading>();
  all->done = std::move(done);
  for (const std::string& engine : sources.engines) {
    client.Start(Get(engine, "/standin/totals"),
                 {nullptr, nullptr, [all](const http_result& result) {
                    if (!result.status.ok()) return;
                    const auto body = QByteArray::fromStdString(result.body);
                    AddEngineTotals(all->counters.engines,
                                    QJsonDocument::fromJson(body).object());
                  }});
  }
  for (const std::string& daemon : sources.daemons) {
    client.Start(Get(daemon, "/metrics"),
                 {nullptr, nullptr, [all](const http_result& result) {
                    if (!result.status.ok()) return;
                    AddDaemonMetrics(all->counters.daemons, result.body);
                  }});
  }
}

double WastedPrefill(const engine_counters& before,
                     const engine_counters& after) {
  const double prefilled = after.prefilled_tokens - before.prefilled_tokens;
  const double wasted = after.evicted_tokens - before.evicted_tokens +
                        after.cancelled_tokens - before.cancelled_tokens;
  return wasted / std::max(1.0, prefilled);
}

}  // namespace anvilridge
