#include <memory>
#include <vector>

#include "admission/limit_home.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/operator_line.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(9);
constexpr int kLimit = 3;

using stream_ptr = std::unique_ptr<event_stream>;

class team_limits_test : public testing::Test {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.daemons = 4;
    options.decode_options = {"--token-interval-ms=50"};
    return options;
  }

  void SetUp() override {
    const test_answer changed =
        GiveCommand(fleet_.daemons[0],
                    "change team choir concurrency=" + std::to_string(kLimit) +
                        " because \"trial\"");
    ASSERT_EQ(changed.status, 200) << changed.body;
    ASSERT_TRUE(Eventually(kBound, [this] { return LimitInForce(); }));
    // Until a lease has passed a new home lends each daemon a fair part only.
    absl::SleepFor(kPermitLease);
  }

  bool LimitInForce() const {
    for (const fleet_daemon& daemon : fleet_.daemons) {
      const QJsonObject row = FirstRow(daemon, "show teams where name=choir");
      if (row["concurrency"].toString().toInt() != kLimit) return false;
    }
    return true;
  }

  test_request LongCompletion(size_t daemon) const {
    test_request request;
    request.method = "POST";
    request.port = fleet_.daemons[daemon].caller;
    request.target = "/v1/completions";
    request.headers = fleet_.Caller();
    request.body = BodyText(fleet::Completion("A long summary.", 400));
    request.timeout = absl::Seconds(60);
    return request;
  }

  // Starts a stream and waits until it was accepted or refused.
  stream_ptr Start(size_t daemon) const {
    auto stream = std::make_unique<event_stream>(LongCompletion(daemon));
    EXPECT_TRUE(
        Eventually(kBound, [&] { return stream->Answer().status != 0; }));
    return stream;
  }

  fleet fleet_{Options()};
};

TEST_F(team_limits_test, ConcurrencyHoldsOverAllDaemonsAndDiesWithThem) {
  std::vector<stream_ptr> streams;
  int accepted = 0;
  for (size_t i = 0; i < 8; ++i) {
    streams.push_back(Start(i % 4));
    const test_answer answer = streams.back()->Answer();
    if (answer.status == 200) ++accepted;
    if (answer.status == 200) continue;
    EXPECT_EQ(answer.status, 429);
    EXPECT_FALSE(answer.Header("retry-after").empty());
    ASSERT_TRUE(streams.back()->WaitForEnd(kBound));
    EXPECT_EQ(streams.back()->Answer().Json()["ran"], "not_run");
  }
  EXPECT_EQ(accepted, kLimit);
  // Daemon 0 holds one of the three places; they come free with its lease.
  fleet_.daemons[0].process->Kill();
  EXPECT_TRUE(Eventually(kPermitLease + kBound,
                         [&] { return Start(1)->Answer().status == 200; }));
}

}  // namespace
}  // namespace anvilridge
