// Prompts that crash the engines of the product's own interface, over several
// daemons and engines as processes.
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(10);
constexpr char kDeadlyText[] = "deadly-page";
constexpr size_t kDaemons = 2;
constexpr int kDecodeEngines = 12;
// Engines that may crash until the prompt is known at all daemons: each has a
// request with it in progress.
constexpr int kCrashesToLearn = 5;

class crashing_completion_test : public testing::Test {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.daemons = kDaemons;
    options.prefill_engines = 2;
    options.decode_engines = kDecodeEngines;
    options.decode_options = {absl::StrCat("--crash-on=", kDeadlyText)};
    options.settings = {
        {"retries",
         {{"percent", "100"}, {"burst", "100"}, {"first_pause", "1ms"}}}};
    return options;
  }

  // Returns a prompt of two blocks, of which all share the first, and those
  // with the deadly text the second.
  static std::string Prompt(bool deadly, int number) {
    return absl::StrCat(std::string(256, 's'),
                        deadly
                            ? absl::StrCat(kDeadlyText, std::string(256, 'd'))
                            : std::string(300, 'x'),
                        " request ", number);
  }

  test_answer Complete(size_t daemon, bool deadly) {
    return Post(fleet_.daemons[daemon].caller, "/v1/completions",
                fleet::Completion(Prompt(deadly, ++requests_), 4, false),
                fleet_.Caller());
  }

  int Crashes() {
    int crashes = 0;
    for (standin& engine : fleet_.decode) {
      if (!engine.process->Running()) ++crashes;
    }
    return crashes;
  }

  fleet fleet_{Options()};
  int requests_ = 0;
};

// Guards against a prompt that crashes one engine after the other: three for
// each request, at each daemon.
TEST_F(crashing_completion_test, APromptThatCrashesEnginesReachesNoMoreOfThem) {
  ASSERT_TRUE(fleet_.WaitReady(kBound));
  ASSERT_EQ(Complete(0, false).status, 200);
  for (size_t i = 0; i < 8; ++i) {
    EXPECT_GE(Complete(i % kDaemons, true).status, 500);
    EXPECT_EQ(Complete(i % kDaemons, false).status, 200) << i;
  }
  EXPECT_LE(Crashes(), kCrashesToLearn);
  const test_answer refused = Complete(1, true);
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(refused.Json()["type"].toString().toStdString(),
            "prompt_quarantined");
  EXPECT_NE(refused.Header("retry-after"), "");
  const test_answer known = Get(fleet_.daemons[1].metrics, "/quarantine");
  EXPECT_EQ(known.status, 200);
  EXPECT_NE(known.body.find(R"("parts":[)"), std::string::npos) << known.body;
}

}  // namespace
}  // namespace anvilridge
