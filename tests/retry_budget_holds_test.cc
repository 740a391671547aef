#include <ostream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/ledger.h"

namespace anvilridge {
namespace {

constexpr int kRequests = 60;
constexpr int kPercent = 10;
constexpr int kBurst = 3;

// What is sent while every upstream that it may go to fails.
struct failing_calls {
  const char* name;
  bool completions;
  const char* fault;
  const char* path;
  const char* counted;
};

std::ostream& operator<<(std::ostream& out, const failing_calls& row) {
  return out << row.name;
}

class retry_budget_holds_test : public testing::TestWithParam<failing_calls> {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.daemons = 1;
    options.prefill_engines = 3;
    options.services = 3;
    options.settings = {{"daemon", {{"traffic_threads", "1"}}},
                        {"retries",
                         {{"percent", absl::StrCat(kPercent)},
                          {"burst", absl::StrCat(kBurst)},
                          {"first_pause", "1ms"}}}};
    return options;
  }

  const std::vector<standin>& Upstreams() const {
    return GetParam().completions ? fleet_.prefill : fleet_.services;
  }

  test_answer Call(int number) const {
    const uint16_t port = fleet_.daemons[0].caller;
    if (!GetParam().completions) {
      return Get(port, kBalancePath, fleet_.Caller());
    }
    return Post(port, "/v1/completions",
                fleet::Completion(absl::StrCat("Order ", number), 2, false),
                fleet_.Caller());
  }

  int Calls() const {
    int calls = 0;
    for (const standin& one : Upstreams()) {
      calls +=
          Get(one.port, "/standin/calls").Json()[GetParam().counted].toInt();
    }
    return calls;
  }

  fleet fleet_{Options()};
};

TEST_P(retry_budget_holds_test, WhenAllUpstreamsFail) {
  for (const standin& one : Upstreams()) {
    SetFault(one.port, GetParam().fault, {{"path", GetParam().path}});
  }
  for (int i = 0; i < kRequests; ++i) EXPECT_GE(Call(i).status, 500);
  // What is saved up and earned is used, and not more.
  const int retries = Calls() - kRequests;
  EXPECT_LE(retries, kRequests * kPercent / 100 + kBurst);
  EXPECT_GE(retries, kRequests * kPercent / 100);
}

INSTANTIATE_TEST_SUITE_P(
    routes, retry_budget_holds_test,
    testing::Values(failing_calls{"completions", true, "error_500",
                                  "/v1/prefill", "POST /v1/prefill"},
                    failing_calls{"lookups", false, "close_after_read",
                                  "/ledger/", "GET /ledger/balance/7"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace anvilridge
