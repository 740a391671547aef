#include "metrics/metrics.h"

#include <regex>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "gtest/gtest.h"
#include "metrics/process_usage.h"

namespace anvilridge {
namespace {

constexpr metric_name kRequests{"requests_total", "Requests"};
constexpr metric_name kLatency{"latency_seconds", "Latency"};

TEST(metrics_thread_test, SeriesAreSharedByNameAndLabels) {
  constexpr int kThreads = 4;
  constexpr int kCountsEach = 100;
  metrics_registry registry;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&registry] {
      for (int n = 0; n < kCountsEach; ++n) {
        registry.Counter(kRequests, {{"route", "ledger"}}).Increment();
        registry.Histogram(kLatency, {}, {0.1, 1}).Observe(0.5);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const std::string text = registry.MetricsText();
  for (const char* line :
       {"requests_total{route=\"ledger\"} 400\n", "# HELP requests_total",
        "latency_seconds_bucket{le=\"0.1\"} 0\n",
        "latency_seconds_bucket{le=\"1\"} 400\n"}) {
    EXPECT_TRUE(absl::StrContains(text, line)) << line << text;
  }
}

TEST(metrics_test, ProcessUsageIsReported) {
  const process_usage before = ReadProcessUsage();
  EXPECT_GT(before.resident_bytes, 1 << 20);
  EXPECT_GT(before.cpu_seconds, 0);
  const std::string text = metrics_registry().MetricsText();
  EXPECT_TRUE(std::regex_search(
      text, std::regex("\nprocess_cpu_seconds_total [0-9.e+-]+\n")))
      << text;
  EXPECT_TRUE(std::regex_search(
      text, std::regex("\nanvil_peer_bytes_total [0-9.e+]+\n")))
      << text;
  EXPECT_TRUE(std::regex_search(
      text, std::regex("\nprocess_resident_memory_bytes [0-9.e+]+\n")))
      << text;
}

}  // namespace
}  // namespace anvilridge
