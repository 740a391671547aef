#include <ostream>
#include <string>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/operator_line.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(20);
constexpr int kTokens = 3;
// One engine of three gets none of so many with a chance of 3 in 10,000.
constexpr int kRequests = 20;

struct engine_fault {
  const char* name;
  const char* fault;
  const char* parameter;
  QJsonValue value;
};

std::ostream& operator<<(std::ostream& out, const engine_fault& row) {
  return out << row.name;
}

class failing_engine_test : public testing::TestWithParam<engine_fault> {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.daemons = 1;
    options.decode_engines = 3;
    // An ejection outlasts the requests that are counted.
    options.settings = {{"health",
                         {{"consecutive_failures", "2"},
                          {"first_ejection", "8s"},
                          {"longest_ejection", "8s"},
                          {"return_over", "500ms"}}}};
    return options;
  }

  bool Complete() {
    const std::string prompt = absl::StrCat("Card order ", ++prompts_);
    const auto events = CollectEvents(
        fleet_.daemons[0].caller, "/v1/completions",
        fleet::Completion(prompt, kTokens), 100, kBound, fleet_.Caller());
    return events.size() == kTokens + 1;
  }

  std::string Health() const {
    return FirstRow(fleet_.daemons[0],
                    "show upstreams where name=decode-1")["health"]
        .toString()
        .toStdString();
  }

  bool IsEjected() const { return Health().starts_with("ejected"); }

  int ImportsAtFirst() const {
    return Get(fleet_.decode[0].port, "/standin/calls")
        .Json()["POST /v1/import"]
        .toInt();
  }

  fleet fleet_{Options()};
  int prompts_ = 0;
};

TEST_P(failing_engine_test, IsAvoidedAndComesBackAfterTheFault) {
  const engine_fault& row = GetParam();
  SetFault(fleet_.decode[0].port, row.fault, {{row.parameter, row.value}});
  EXPECT_TRUE(Eventually(kBound, [&] {
    Complete();
    return IsEjected();
  })) << Health();
  const int before = ImportsAtFirst();
  for (int i = 0; i < kRequests; ++i) EXPECT_TRUE(Complete());
  EXPECT_EQ(ImportsAtFirst(), before);
  EXPECT_TRUE(IsEjected()) << "the requests took longer than the ejection";
  ClearFaults(fleet_.decode[0].port);
  EXPECT_TRUE(Eventually(kBound, [&] {
    EXPECT_TRUE(Complete());
    return Health() == "ok";
  })) << Health();
  EXPECT_TRUE(Eventually(kBound, [&] {
    EXPECT_TRUE(Complete());
    return ImportsAtFirst() > before;
  }));
}

INSTANTIATE_TEST_SUITE_P(
    faults, failing_engine_test,
    testing::Values(
        engine_fault{"errors", "error_500", "path", "/v1/import"},
        engine_fault{"imports_stall", "stall_transfer", "request_id", "all"},
        engine_fault{"tokens_stall", "stall_decode", "request_id", "all"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace anvilridge
