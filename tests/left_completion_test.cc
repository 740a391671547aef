// Completions whose callers leave while no engine decodes for them, over a real
// daemon process.
#include <QJsonArray>
#include <memory>
#include <string>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(10);
// Longer than a completion is kept for a caller that may come back.
constexpr absl::Duration kKeptForResume = absl::Seconds(3);
constexpr char kVictimPrompt[] = "Summarise the season of the fire brigade.";
constexpr char kOtherPrompt[] = "Explain the discrepancy in the choir's dues.";
// Lasts longer than the test, at 20 ms a token.
constexpr int kTokens = 2000;

class left_completion_test : public testing::Test {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.daemons = 1;
    options.decode_engines = 2;
    return options;
  }

  std::unique_ptr<event_stream> Open(const char* prompt, bool stream) {
    test_request request;
    request.method = "POST";
    request.port = fleet_.daemons[0].caller;
    request.target = "/v1/completions";
    request.headers = fleet_.Caller();
    request.body = BodyText(fleet::Completion(prompt, kTokens, stream));
    request.timeout = absl::Seconds(60);
    return std::make_unique<event_stream>(request);
  }

  // Changes an object of the configuration in force.
  void Change(object_kind kind, const std::string& name, field_value field) {
    config_command change =
        Command(command_verb::change, kind, name, {std::move(field)});
    const QJsonArray records =
        Get(fleet_.platform.port, "/log/config?from=1&limit=1000")
            .Json()["records"]
            .toArray();
    for (const QJsonValue record : records) {
      if (record["data"]["name"].toString().toStdString() == name) {
        change.base_version = record["offset"].toInteger();
      }
    }
    ASSERT_GT(fleet_.Append(change), change.base_version);
  }

  // Returns the number of running decode engines that hold a request.
  size_t BusyEngines() const {
    size_t busy = 0;
    for (const standin& engine : fleet_.decode) {
      if (engine.process->Running() && !EngineRequests(engine.port).empty()) {
        ++busy;
      }
    }
    return busy;
  }

  int Prefills() const {
    return Get(fleet_.prefill[0].port, "/standin/calls")
        .Json()["POST /v1/prefill"]
        .toInt();
  }

  bool Logged(const std::string& text) {
    const child_process& daemon = *fleet_.daemons[0].process;
    return absl::StrContains(daemon.Out(), text) ||
           absl::StrContains(daemon.Err(), text);
  }

  fleet fleet_{Options()};
};

// Guards against an attempt that waits for a place while its caller leaves, and
// is then prefilled for nobody.
TEST_F(left_completion_test, BeginsNoAttemptForACallerThatHasLeft) {
  for (const char* engine : {"decode-1", "decode-2"}) {
    Change(object_kind::upstream, engine, {"slots", "1"});
  }
  // Requests may wait for a place for as long as the test lasts.
  Change(object_kind::route, "drafts", {"first_token", "60s"});
  // Until the limits are in force, a request gets a place.
  absl::SleepFor(absl::Seconds(1));
  const auto victim = Open(kVictimPrompt, /*stream=*/true);
  ASSERT_TRUE(victim->WaitForEvents(3, kBound));
  const size_t failing = EngineRequests(fleet_.decode[0].port).empty() ? 1 : 0;
  const auto other = Open(kOtherPrompt, /*stream=*/false);
  ASSERT_TRUE(Eventually(kBound, [&] { return BusyEngines() == 2; }));
  fleet_.decode[failing].process->Kill();
  ASSERT_TRUE(Eventually(kBound, [&] { return Logged("\"retry\""); }));
  // The next attempt waits for the place of the other request.
  absl::SleepFor(absl::Milliseconds(500));
  const int before = Prefills();
  victim->Cut();
  absl::SleepFor(absl::Milliseconds(200));
  other->Cut();
  absl::SleepFor(kKeptForResume);
  EXPECT_EQ(Prefills(), before);
  EXPECT_EQ(BusyEngines(), 0U);
}

}  // namespace
}  // namespace anvilridge
