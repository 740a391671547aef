// Engines and services of the product's own interface that fall silent and go
// on, while nothing is left of the retry budget.
#include <memory>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "common/token_text.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/ledger.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(20);
// Longer than the bounds at which engines are taken for stalled.
constexpr absl::Duration kPause = absl::Milliseconds(2500);
constexpr char kPrompt[] = "Explain the discrepancy in the choir's dues.";
constexpr int kTokens = 40;
// As many transfers as a daemon must have seen before it trusts their times.
constexpr int kLearned = 12;

enum class pool { prefill, decode };

class paused_engine_test : public testing::Test {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.services = 1;
    options.settings = {{"daemon", {{"traffic_threads", "1"}}},
                        {"retries", {{"percent", "0"}}}};
    // The engine itself gives up no import.
    options.decode_options = {"--import-timeout-ms=10000"};
    return options;
  }

  std::unique_ptr<event_stream> Open(const std::string& prompt,
                                     size_t daemon = 0,
                                     const std::string& last_event_id = "") {
    test_request request;
    request.method = "POST";
    request.port = fleet_.daemons[daemon].caller;
    request.target = "/v1/completions";
    request.headers = fleet_.Caller();
    if (!last_event_id.empty()) {
      request.headers.emplace_back("Last-Event-ID", last_event_id);
    }
    request.body = BodyText(fleet::Completion(prompt, kTokens));
    request.timeout = absl::Seconds(60);
    return std::make_unique<event_stream>(request);
  }

  static void ExpectWhole(event_stream& stream,
                          const std::string& prompt = kPrompt,
                          const std::string& before = "") {
    ASSERT_TRUE(stream.WaitForEnd(kBound));
    EXPECT_EQ(before + StreamedText(stream.Events()),
              AnswerText("model", prompt, kTokens))
        << stream.Answer().body;
  }

  static int Calls(const standin& engine, const char* call) {
    return Get(engine.port, "/standin/calls").Json()[call].toInt();
  }

  // Transfers that a prefill engine has begun; each has a path of its own.
  static int Exports(const standin& engine) {
    const QStringList calls =
        Get(engine.port, "/standin/calls").Json().keys().filter("/v1/kv/");
    return static_cast<int>(calls.size());
  }

  static void Pause(absl::Duration pause) {
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(pause));
  }

  fleet fleet_{Options()};
};

TEST_F(paused_engine_test, AStreamGoesOnBehindAPauseOfItsEngine) {
  const auto stream = Open(kPrompt);
  ASSERT_TRUE(stream->WaitForEvents(3, kBound));
  fleet_.decode[0].process->Freeze();
  Pause(kPause);
  fleet_.decode[0].process->Thaw();
  ExpectWhole(*stream);
}

TEST_F(paused_engine_test, APausedPrefillIsAwaited) {
  SetFault(fleet_.prefill[0].port, "stall_prefill",
           {{"count", 1}, {"ms", absl::ToDoubleMilliseconds(kPause)}});
  ExpectWhole(*Open(kPrompt));
  EXPECT_EQ(Calls(fleet_.prefill[0], "POST /v1/prefill"), 1);
}

// Guards against a request that is refused because an engine was silent amid a
// transfer, although nothing may take its place.
TEST_F(paused_engine_test, APausedTransferIsAwaited) {
  SetFault(fleet_.prefill[0].port, "stall_transfer",
           {{"count", 1}, {"ms", absl::ToDoubleMilliseconds(kPause)}});
  ExpectWhole(*Open(kPrompt));
  EXPECT_EQ(Calls(fleet_.decode[0], "POST /v1/import"), 1);
}

// Guards against a transfer that is called back because one of its engines is
// silent, and finds the result of its prefill gone when it is ordered again.
class silent_transfer_test : public paused_engine_test,
                             public testing::WithParamInterface<pool> {};

TEST_P(silent_transfer_test, IsNotCalledBack) {
  for (int i = 0; i < kLearned; ++i) {
    const std::string prompt = absl::StrCat("book ", i);
    ExpectWhole(*Open(prompt), prompt);
  }
  // So that the engine falls silent amid the transfer.
  SetFault(fleet_.prefill[0].port, "stall_transfer",
           {{"count", 1}, {"ms", 150}});
  const auto stream = Open(kPrompt);
  ASSERT_TRUE(Eventually(
      kBound, [&] { return Exports(fleet_.prefill[0]) == kLearned + 1; }));
  const standin& silent =
      GetParam() == pool::prefill ? fleet_.prefill[0] : fleet_.decode[0];
  silent.process->Freeze();
  Pause(kPause);
  silent.process->Thaw();
  ExpectWhole(*stream);
}

INSTANTIATE_TEST_SUITE_P(engines, silent_transfer_test,
                         testing::Values(pool::prefill, pool::decode),
                         [](const auto& test) {
                           return test.param == pool::prefill ? "Prefill"
                                                              : "Decode";
                         });

// Guards against a caller that comes back and is refused because the engine of
// its stream was silent at that time.
TEST_F(paused_engine_test, AStreamIsTakenOverBehindAPauseOfItsEngine) {
  const auto first = Open(kPrompt);
  ASSERT_TRUE(first->WaitForEvents(3, kBound));
  fleet_.decode[0].process->Freeze();
  fleet_.daemons[0].process->Kill();
  ASSERT_TRUE(first->WaitForEnd(kBound));
  const std::vector<test_event> read = first->Events();
  ASSERT_FALSE(read.empty());
  const auto second = Open(kPrompt, 1, read.back().id);
  Pause(kPause);
  fleet_.decode[0].process->Thaw();
  ExpectWhole(*second, kPrompt, StreamedText(read));
}

TEST_F(paused_engine_test, APausedServiceIsAwaited) {
  fleet_.services[0].process->Freeze();
  std::thread thaw([this] {
    Pause(kPause);
    fleet_.services[0].process->Thaw();
  });
  EXPECT_EQ(Get(fleet_.daemons[0].caller, kBalancePath, fleet_.Caller()).status,
            200);
  thaw.join();
}

}  // namespace
}  // namespace anvilridge
