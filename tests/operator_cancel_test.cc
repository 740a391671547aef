#include <future>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/ledger.h"
#include "harness/operator_line.h"

namespace anvilridge {
namespace {

// A command is in force everywhere within this time.
constexpr absl::Duration kBound = absl::Seconds(9);
// Longer than what is cancelled would take by itself.
constexpr absl::Duration kLongTime = absl::Seconds(40);

// The id of the one request in `phase`, as the daemon that does not serve it
// shows it; empty when there is none within the bound.
std::string IdOf(const fleet_daemon& daemon, absl::string_view phase) {
  const std::string query = absl::StrCat("show requests where phase=", phase);
  std::string id;
  Eventually(kBound, [&] {
    id = FirstRow(daemon, query)["id"].toString().toStdString();
    return !id.empty();
  });
  return id;
}

void Cancel(const fleet_daemon& daemon, absl::string_view id) {
  const test_answer given = GiveCommand(
      daemon, absl::StrCat("cancel request ", id, " because \"stuck\""));
  EXPECT_EQ(given.status, 200) << given.body;
}

std::future<test_answer> SendLater(test_request request) {
  return std::async(std::launch::async,
                    [request = std::move(request)] { return Send(request); });
}

void ExpectCancelled(std::future<test_answer>& call, const char* ran) {
  ASSERT_EQ(call.wait_for(absl::ToChronoSeconds(kBound)),
            std::future_status::ready);
  const test_answer answer = call.get();
  EXPECT_EQ(answer.status, 409) << answer.body;
  EXPECT_EQ(answer.Json()["type"], "cancelled");
  EXPECT_EQ(answer.Json()["ran"], ran);
}

// What the dry run of a cancel says of the request.
std::string DryRunEffect(const fleet_daemon& daemon, absl::string_view id) {
  return GiveCommand(daemon, absl::StrCat("dry run cancel request ", id,
                                          " because \"stuck\""))
      .body;
}

TEST(operator_cancel_test, QueuedCompletionIsAnsweredAtOnce) {
  fleet_options options;
  options.decode_options = {"--token-interval-ms=100"};
  fleet all(options);
  for (const char* change : {"change route drafts first_token=60s",
                             "change upstream decode-1 slots=1"}) {
    const test_answer given =
        GiveCommand(all.daemons[0], absl::StrCat(change, " because \"trial\""));
    ASSERT_EQ(given.status, 200) << given.body;
  }
  test_request request{"POST",
                       all.daemons[0].caller,
                       "/v1/completions",
                       all.Caller({{"Content-Type", "application/json"}}),
                       BodyText(fleet::Completion("The season.", 400)),
                       kLongTime};
  event_stream running(request);
  ASSERT_TRUE(running.WaitForEvents(1, kBound));
  std::future<test_answer> queued = SendLater(request);
  const std::string id = IdOf(all.daemons[1], "placement");
  ASSERT_FALSE(id.empty());
  EXPECT_TRUE(absl::StrContains(DryRunEffect(all.daemons[1], id),
                                "is told that it did not run"));
  Cancel(all.daemons[1], id);
  ExpectCancelled(queued, "not_run");
  EXPECT_EQ(all.HeldRequests().size(), 1U);
}

struct posting_case {
  const char* name;
  bool keyed;
};

class cancelled_posting_test : public testing::TestWithParam<posting_case> {};

TEST_P(cancelled_posting_test, IsUnknownAndItsKeyStaysUsed) {
  fleet_options options;
  options.services = 1;
  fleet all(options);
  SetServiceFault(all, "delay", {{"ms", 8000}});
  const std::string key = SecondsKey(absl::Now());
  test_request request{"POST",
                       all.daemons[0].caller,
                       kPostingPath,
                       all.Caller({{"Content-Type", "application/json"}}),
                       BodyText({{"fee", 12}}),
                       kLongTime};
  if (GetParam().keyed) request.headers.emplace_back("Idempotency-Key", key);
  std::future<test_answer> posting = SendLater(request);
  const std::string id = IdOf(all.daemons[1], "service");
  ASSERT_FALSE(id.empty());
  EXPECT_TRUE(
      absl::StrContains(DryRunEffect(all.daemons[1], id), "may have run"));
  Cancel(all.daemons[1], id);
  ExpectCancelled(posting, "unknown");
  const test_answer history =
      AskQuery(all.daemons[1], absl::StrCat("history of request ", id));
  EXPECT_TRUE(absl::StrContains(history.body, "stuck")) << history.body;
  if (!GetParam().keyed) return;
  // The same call again runs nothing, and learns what the first one came to.
  EXPECT_TRUE(Eventually(absl::Seconds(20), [&] {
    const test_answer again = Send(request);
    return again.status == 201 &&
           again.Header("idempotency-replayed") == "true";
  }));
  EXPECT_EQ(RunsOf(all, key), 1);
}

INSTANTIATE_TEST_SUITE_P(cases, cancelled_posting_test,
                         testing::Values(posting_case{"keyed", true},
                                         posting_case{"unkeyed", false}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace anvilridge
