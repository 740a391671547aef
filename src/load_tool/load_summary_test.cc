#include "load_tool/load_summary.h"

#include "gtest/gtest.h"
#include "load_tool/fleet_counters.h"
#include "load_tool/load_report.h"

namespace anvilridge {
namespace {

using absl::Milliseconds;

request_sample Sample(load_result result, int first_ms,
                      std::vector<absl::Duration> gaps) {
  request_sample sample;
  sample.at = absl::Seconds(5);
  sample.result = result;
  sample.error = result == load_result::whole ? "" : "overloaded";
  sample.first_token = Milliseconds(first_ms);
  sample.gaps = std::move(gaps);
  sample.tokens = result == load_result::whole ? 3 : 0;
  return sample;
}

TEST(load_summary_test, GoodputNeedsAllOfTheAnswerAndBothTargets) {
  const latency_targets targets{Milliseconds(100), Milliseconds(20),
                                absl::Seconds(1)};
  const std::vector<absl::Duration> uneven = {Milliseconds(10),
                                              Milliseconds(30)};
  const std::vector<absl::Duration> slow = {Milliseconds(11), Milliseconds(30)};
  std::vector<request_sample> samples = {
      Sample(load_result::whole, 100, uneven),
      Sample(load_result::whole, 101, uneven),
      Sample(load_result::whole, 100, slow),
      Sample(load_result::refused, 0, {}), Sample(load_result::failed, 0, {})};
  samples.push_back(samples[0]);
  samples.back().at = absl::Seconds(4);
  samples.push_back(samples[0]);
  samples.back().at = absl::Seconds(7);
  const load_summary summary =
      Summarise(samples, targets, absl::Seconds(5), absl::Seconds(7));
  EXPECT_EQ(summary.completions.requests, 5);
  EXPECT_EQ(summary.completions.whole, 3);
  EXPECT_EQ(summary.completions.refusals.at("overloaded"), 1);
  EXPECT_EQ(summary.completions.failures.at("overloaded"), 1);
  EXPECT_DOUBLE_EQ(summary.goodput, 0.5);
  EXPECT_DOUBLE_EQ(summary.goodput_share, 0.2);
}

TEST(load_summary_test, RecoveryComparesBeforeTheFaultWithSecondsAfterIt) {
  const latency_targets targets{Milliseconds(100), Milliseconds(20),
                                absl::Seconds(1)};
  std::vector<request_sample> samples;
  const auto add = [&](int at, load_result result) {
    samples.push_back(Sample(result, 100, {}));
    samples.back().at = absl::Seconds(at);
  };
  add(1, load_result::failed);
  add(2, load_result::whole);
  add(3, load_result::whole);
  add(4, load_result::failed);
  add(8, load_result::failed);
  add(9, load_result::whole);
  add(10, load_result::whole);
  add(11, load_result::refused);
  add(12, load_result::whole);
  add(13, load_result::failed);
  samples.back().kind = load_kind::lookup;
  const recovery_summary recovery =
      SummariseRecovery(samples, targets, absl::Seconds(2), absl::Seconds(4),
                        absl::Seconds(5), absl::Seconds(14));
  EXPECT_DOUBLE_EQ(recovery.served_well_before, 1);
  EXPECT_DOUBLE_EQ(recovery.served_well_after, 0.75);
  EXPECT_DOUBLE_EQ(recovery.Ratio(), 0.75);
}

TEST(load_summary_test, PercentilesAreByNearestRank) {
  std::vector<absl::Duration> times;
  for (int i = 200; i > 0; --i) times.push_back(Milliseconds(i));
  const percentiles result = PercentilesOf(times);
  EXPECT_EQ(result.p50, 100);
  EXPECT_EQ(result.p95, 190);
  EXPECT_EQ(result.p99, 198);
  EXPECT_EQ(PercentilesOf({}).p99, 0);
}

TEST(load_summary_test, CountersGiveWastedPrefillAndUse) {
  engine_counters before;
  AddEngineTotals(before, {{"prefilled_tokens", 100}, {"evicted_tokens", 50}});
  engine_counters after;
  AddEngineTotals(after, {{"prefilled_tokens", 1000},
                          {"evicted_tokens", 80},
                          {"cancelled_tokens", 15}});
  AddEngineTotals(after, {{"prefilled_tokens", 100}});
  EXPECT_DOUBLE_EQ(WastedPrefill(before, after), 45.0 / 1000);
  daemon_counters used;
  AddDaemonMetrics(used,
                   "# HELP process_cpu_seconds_total text\n"
                   "process_cpu_seconds_total 1.5\n"
                   "anvil_peer_bytes_total{direction=\"sent\"} 70\n"
                   "anvil_peer_bytes_total{direction=\"received\"} 30\n");
  EXPECT_EQ(used.cpu_seconds, 1.5);
  EXPECT_EQ(used.control_bytes, 100);
}

TEST(load_summary_test, ReportGroupsRunsByPolicyAndLoad) {
  const auto run = [](const char* policy, double load, double goodput) {
    return QJsonObject{{"deployment", "d"},
                       {"scenario", "none"},
                       {"policy", policy},
                       {"load", load},
                       {"goodput", goodput}};
  };
  const std::vector<QJsonObject> runs = {
      run("homes", 1, 10), run("homes", 1.2, 7), run("homes", 1, 20),
      run("round_robin", 1, 5)};
  const auto groups = GroupRuns(runs);
  ASSERT_EQ(groups.size(), 3U);
  const spread& first = groups[0].figures.at("goodput");
  EXPECT_EQ(groups[0].policy, "homes");
  EXPECT_EQ(first.runs, 2);
  EXPECT_EQ(first.Mean(), 15);
  EXPECT_EQ(first.least, 10);
  EXPECT_EQ(first.most, 20);
  EXPECT_NE(ReportTable(groups).find("15.0 (10.0..20.0)"), std::string::npos);
  EXPECT_NE(GoodputPlot(groups).find("d none round_robin"), std::string::npos);
}

}  // namespace
}  // namespace anvilridge
