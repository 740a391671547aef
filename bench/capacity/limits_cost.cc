// Cost of team limits, metrics and log lines: limits_cost TEAMS UPSTREAMS LINES
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "admission/limit_home.h"
#include "admission/limit_share.h"
#include "bench_meter.h"
#include "log/decision_log.h"
#include "metrics/metrics.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);
constexpr metric_name kRequests{"bench_requests_total", "Requests by team"};
constexpr metric_name kCalls{"bench_calls_seconds", "Calls by upstream"};

int Run(int teams, int upstreams, int lines) {
  std::vector<team_config> configs(teams);
  for (int i = 0; i < teams; ++i) {
    configs[i].name = absl::StrCat("team-with-a-name-", i);
    configs[i].rate = 1e6;
    configs[i].concurrency = 1'000'000;
  }
  const double heap = HeapBytes();
  // Each team's home and one borrower, which asks for every request: the
  // dearest case, since loans are kept between requests.
  std::map<std::string, limit_ledger, std::less<>> homes;
  limit_shares shares;
  bool entered = true;
  const auto once = [&] {
    for (const team_config& team : configs) {
      limit_share& share = shares.teams[team.name];
      share.waiting = 1;
      const borrow_request ask =
          MakeBorrowRequest(share, team, "entry-zagreb-a-1:1", 370);
      ApplyBorrowReply(share, Lend(homes[team.name], team, ask, 370, kStart),
                       kStart);
      share.waiting = 0;
      entered = CanStart(share, team, kStart) && entered;
      if (entered) RecordStart(share, team);
      RecordEnd(shares, team.name);
    }
  };
  once();
  const double limits_heap = HeapBytes() - heap;
  const double enter = CpuOf(20, once) / teams;

  const double metrics_before = HeapBytes();
  metrics_registry metrics;
  for (const team_config& team : configs) {
    metrics.Counter(kRequests, {{"team", team.name}}).Increment();
  }
  for (int i = 0; i < upstreams; ++i) {
    metrics.Histogram(kCalls, {{"upstream", absl::StrCat("engine-", i)}})
        .Observe(0.1);
  }
  const double metrics_heap = HeapBytes() - metrics_before;
  std::string text;
  const double scrape = CpuOf(3, [&] { text = metrics.MetricsText(); });

  char file[] = "limits_cost.XXXXXX";
  const int descriptor = mkstemp(file);
  if (descriptor >= 0) close(descriptor);
  const absl::Status opened = OpenLog({"info", file}, "entry-zagreb-a-1");
  const QJsonObject fields{
      {"request_id", "0123456789abcdef0123456789abcdef"},
      {"team", "team-with-a-name-17"},
      {"route", "drafts"},
      {"decode", "engine-zagreb-a-1"},
      {"prefill", "engine-zagreb-a-2"},
      {"considered", QJsonValue(QJsonObject{{"decode", "engine-zagreb-a-1"},
                                            {"free_slots", 3},
                                            {"granted", true}})}};
  const double log_before = CpuMicroseconds();
  for (int i = 0; i < lines; ++i) {
    LogEvent(log_level::info, "request_placed", fields);
  }
  const double log_cpu = (CpuMicroseconds() - log_before) / lines;
  std::FILE* written = std::fopen(file, "rb");
  int64_t bytes = 0;
  if (written) {
    std::fseek(written, 0, SEEK_END);
    bytes = std::ftell(written);
    std::fclose(written);
    std::remove(file);
  }
  PrintLine({{"bench", "limits_cost"},
             {"teams", teams},
             {"upstreams", upstreams},
             {"lines", lines},
             {"limits_heap_bytes", limits_heap},
             {"enter_and_leave_us", enter},
             {"metrics_heap_bytes", metrics_heap},
             {"scrape_bytes", static_cast<double>(text.size())},
             {"scrape_us", scrape},
             {"log_us_per_line", log_cpu},
             {"log_bytes_per_line", static_cast<double>(bytes) / lines}});
  return opened.ok() && entered ? 0 : 1;
}

}  // namespace
}  // namespace anvilridge

int main(int argc, char** argv) {
  using anvilridge::SizeArgument;
  return anvilridge::Run(SizeArgument(argc, argv, 1, 990),
                         SizeArgument(argc, argv, 2, 100),
                         SizeArgument(argc, argv, 3, 5000));
}
