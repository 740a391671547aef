#include "fleet_daemon/store_call_count.h"

#include <string>

#include "absl/strings/match.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

// Guards against calls that are counted but not made, and the reverse.
TEST(store_call_count_test, EachCallIsMadeAndCounted) {
  int reads = 0;
  int lists = 0;
  int joins = 0;
  fleet_sources sources;
  sources.config_topic.read = [&](int64_t, const auto&) { ++reads; };
  sources.config_topic.list = [&](const auto&) { ++lists; };
  sources.upstream_topic = sources.config_topic;
  sources.group.join = [&](const std::string&, int64_t, absl::Duration,
                           const auto&) { ++joins; };
  sources.group.owners = [](const auto&) {};
  metrics_registry metrics;
  const fleet_sources counted = CountStoreCalls(std::move(sources), metrics);
  counted.config_topic.read(0, nullptr);
  counted.config_topic.read(1, nullptr);
  counted.upstream_topic.list(nullptr);
  counted.group.join("a", 1, absl::Seconds(1), nullptr);
  EXPECT_EQ(reads, 2);
  EXPECT_EQ(lists, 1);
  EXPECT_EQ(joins, 1);
  const std::string text = metrics.MetricsText();
  for (const char* line :
       {R"(anvil_fleet_store_calls_total{call="read",topic="config"} 2)",
        R"(anvil_fleet_store_calls_total{call="list",topic="config"} 0)",
        R"(anvil_fleet_store_calls_total{call="list",topic="upstreams"} 1)",
        R"(anvil_fleet_store_calls_total{call="join",topic="daemons"} 1)"}) {
    EXPECT_TRUE(absl::StrContains(text, line)) << line << "\n" << text;
  }
}

}  // namespace
}  // namespace anvilridge
