#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

constexpr int kTokens = 3;
// As many transfers as a daemon must have seen before it trusts their times.
constexpr int kLearned = 12;

class stalled_transfer_test : public testing::Test {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.daemons = 1;
    options.settings = {{"daemon", {{"traffic_threads", "1"}}}};
    // Long enough for a busy machine; a stall must end well before it.
    options.prefill_options = {"--kv-eviction-ms=20000"};
    return options;
  }

  std::string Complete(int number) {
    const auto events =
        CollectEvents(fleet_.daemons[0].caller, "/v1/completions",
                      fleet::Completion(absl::StrCat("book ", number), kTokens),
                      kTokens + 1, absl::Seconds(20),
                      fleet_.Caller({{"Content-Type", "application/json"}}));
    return StreamedText(events);
  }

  static int Calls(const standin& engine, const char* call) {
    return Get(engine.port, "/standin/calls").Json()[call].toInt();
  }

  fleet fleet_{Options()};
};

TEST_F(stalled_transfer_test, IsOrderedAgainWithoutAnotherPrefill) {
  for (int i = 0; i < kLearned; ++i) ASSERT_NE(Complete(i), "");
  const std::string undisturbed = Complete(kLearned);
  const int imports = Calls(fleet_.decode[0], "POST /v1/import");
  const int prefills = Calls(fleet_.prefill[0], "POST /v1/prefill");
  SetFault(fleet_.prefill[0].port, "stall_transfer", {{"count", 1}});
  EXPECT_EQ(Complete(kLearned), undisturbed);
  EXPECT_EQ(Calls(fleet_.decode[0], "POST /v1/import"), imports + 2);
  EXPECT_EQ(Calls(fleet_.prefill[0], "POST /v1/prefill"), prefills + 1);
  EXPECT_TRUE(Eventually(absl::Seconds(10),
                         [&] { return fleet_.HeldRequests().empty(); }));
}

}  // namespace
}  // namespace anvilridge
