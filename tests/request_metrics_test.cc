#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/ledger.h"
#include "harness/operator_line.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(10);
constexpr int kTokens = 8;

std::string MetricsOf(const fleet_daemon& daemon) {
  return Get(daemon.metrics, "/metrics").body;
}

// The value of `series`, its labels in alphabetical order; 0 when it is not
// there.
double ValueOf(absl::string_view text, absl::string_view series) {
  for (absl::string_view line : absl::StrSplit(text, '\n')) {
    const std::vector<absl::string_view> words = absl::StrSplit(line, ' ');
    double value = 0;
    if (words.size() != 2 || words[0] != series) continue;
    return absl::SimpleAtod(words[1], &value) ? value : -1;
  }
  return 0;
}

struct expected_value {
  const char* series;
  double value;
};

// What went wrong, as one line a series; empty when all are as expected.
std::string Differences(const fleet_daemon& daemon,
                        const std::vector<expected_value>& expected) {
  const std::string text = MetricsOf(daemon);
  std::string differences;
  for (const expected_value& e : expected) {
    const double value = ValueOf(text, e.series);
    if (value == e.value) continue;
    absl::StrAppend(&differences, e.series, " is ", value, "\n");
  }
  return differences;
}

void ExpectValues(const fleet_daemon& daemon,
                  const std::vector<expected_value>& expected) {
  std::string differences;
  EXPECT_TRUE(Eventually(kBound, [&] {
    differences = Differences(daemon, expected);
    return differences.empty();
  })) << differences;
}

test_headers Unknown() { return {{"Authorization", "Bearer nobody"}}; }

TEST(request_metrics_test, CountsACompletionAPostingAndRefusals) {
  fleet_options options;
  options.services = 1;
  fleet all(options);
  const fleet_daemon& daemon = all.daemons[0];
  // Targets that a busy machine keeps too.
  ASSERT_EQ(GiveCommand(daemon,
                        "change route drafts first_token=60s "
                        "between_tokens=10s because \"trial\"")
                .status,
            200);
  const QJsonObject completion = fleet::Completion("The season.", kTokens);
  CollectEvents(daemon.caller, "/v1/completions", completion, 100, kBound,
                all.Caller());
  const test_headers keyed =
      all.Caller({{"Idempotency-Key", SecondsKey(absl::Now())}});
  EXPECT_EQ(Post(daemon.caller, kPostingPath, {{"fee", 12}}, keyed).status,
            201);
  // The same call again is answered from its claim, once the log has that.
  EXPECT_TRUE(Eventually(kBound, [&] {
    return Post(daemon.caller, kPostingPath, {{"fee", 12}}, keyed).status ==
           201;
  }));
  EXPECT_EQ(
      Post(daemon.caller, "/v1/completions", completion, Unknown()).status,
      401);
  ExpectValues(
      daemon,
      {{"anvil_requests_total{result=\"ok\",route=\"drafts\"}", 1},
       {"anvil_requests_total{result=\"ok\",route=\"ledger\"}", 2},
       {"anvil_requests_total{result=\"unknown_credential\",route=\"none\"}",
        1},
       {"anvil_refusals_total{kind=\"unknown_credential\"}", 1},
       {"anvil_placements_total{result=\"ok\"}", 1},
       {"anvil_place_wait_seconds_count", 1},
       {"anvil_first_token_seconds_count{pool=\"drafts-decode\"}", 1},
       {"anvil_token_interval_seconds_count{pool=\"drafts-decode\"}",
        kTokens - 1},
       {"anvil_served_in_target_total{route=\"drafts\"}", 1},
       {"anvil_claims_total{outcome=\"settled\"}", 1},
       {"anvil_claims_total{outcome=\"replayed\"}", 1},
       {"anvil_wasted_prefill_tokens_total", 0},
       {"anvil_config_age_seconds", 0}});
  EXPECT_GT(ValueOf(MetricsOf(daemon), "anvil_prefill_tokens_total"), 0);
}

TEST(request_metrics_test, CountsWasteOrphansAndRefusalsOfThePort) {
  fleet_options options;
  options.decode_options = {"--token-interval-ms=3000"};
  options.settings = {{"limits", {{"max_body_bytes", "1024"}}}};
  fleet all(options);
  const fleet_daemon& daemon = all.daemons[0];
  test_request request{"POST",
                       daemon.caller,
                       "/v1/completions",
                       all.Caller({{"Content-Type", "application/json"}}),
                       BodyText(fleet::Completion("The season.", kTokens)),
                       absl::Seconds(1)};
  Send(request);
  ExpectValues(
      daemon,
      {{"anvil_requests_total{result=\"caller_left\",route=\"drafts\"}", 1}});
  const std::string text = MetricsOf(daemon);
  EXPECT_GT(ValueOf(text, "anvil_wasted_prefill_tokens_total"), 0);
  EXPECT_EQ(ValueOf(text, "anvil_wasted_prefill_tokens_total"),
            ValueOf(text, "anvil_prefill_tokens_total"));

  request.body.append(1024, ' ');
  EXPECT_EQ(Send(request).status, 413);
  ExpectValues(daemon, {{"anvil_refusals_total{kind=\"body_too_large\"}", 1}});

  // The engines' home may be either daemon.
  request.body = BodyText(fleet::Completion("The season.", kTokens));
  request.timeout = absl::Seconds(30);
  request.port = all.daemons[1].caller;
  const event_stream held(request);
  const auto is_of_second = [&](const QJsonObject& row) {
    return row["owner"].toString().startsWith(
        QString::fromStdString(all.daemons[1].name + ":"));
  };
  // The result of a prefill lapses by itself, so that only a request that is
  // being decoded is sure to become an orphan.
  ASSERT_TRUE(Eventually(kBound, [&] {
    const std::vector<QJsonObject> rows = all.HeldRequests();
    return std::any_of(rows.begin(), rows.end(), [&](const QJsonObject& row) {
      return is_of_second(row) && row["phase"].toString() == "decode";
    });
  }));
  all.daemons[1].process->Kill();
  EXPECT_TRUE(Eventually(absl::Seconds(30), [&] {
    return is_of_second(FirstRow(daemon, "show orphans"));
  }));
  EXPECT_TRUE(Eventually(absl::Seconds(30), [&] {
    return ValueOf(MetricsOf(daemon), "anvil_orphans_cancelled_total") > 0;
  }));
}

TEST(request_metrics_test, EveryMetricHasItsLineInThePage) {
  const fleet all;
  std::ifstream file(ANVIL_SOURCE_DIR "/docs/OPERATIONS.md");
  std::stringstream page;
  page << file.rdbuf();
  int found = 0;
  const std::string text = MetricsOf(all.daemons[0]);
  for (absl::string_view line : absl::StrSplit(text, '\n')) {
    const std::vector<absl::string_view> words = absl::StrSplit(line, ' ');
    if (words.size() < 4 || words[1] != "TYPE") continue;
    if (!absl::StartsWith(words[2], "anvil_")) continue;
    ++found;
    EXPECT_TRUE(absl::StrContains(page.str(), absl::StrCat("| `", words[2])))
        << words[2];
  }
  EXPECT_GE(found, 15);
}

}  // namespace
}  // namespace anvilridge
