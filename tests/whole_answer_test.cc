#include <csignal>
#include <memory>

#include "common/token_text.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "requests/resume_token.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(20);
constexpr char kPrompt[] = "Explain the discrepancy in the choir's dues.";
constexpr int kTokens = 60;
// Longer than the lease of the harness and than the time in which the others
// give a silent daemon up, shorter than what they keep for a resume.
constexpr absl::Duration kPause = absl::Milliseconds(2500);

std::string Whole() { return AnswerText("model", kPrompt, kTokens); }

class whole_answer : public testing::Test {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.daemons = 3;
    options.prefill_engines = 2;
    options.decode_engines = 2;
    return options;
  }

  std::unique_ptr<event_stream> Open(size_t daemon,
                                     const std::string& last_event_id = "") {
    test_request request;
    request.method = "POST";
    request.port = fleet_.daemons[daemon].caller;
    request.target = "/v1/completions";
    request.headers = fleet_.Caller();
    if (!last_event_id.empty()) {
      request.headers.emplace_back("Last-Event-ID", last_event_id);
    }
    request.body = BodyText(fleet::Completion(kPrompt, kTokens));
    request.timeout = absl::Seconds(60);
    return std::make_unique<event_stream>(request);
  }

  // Engine that decodes, by the list of each.
  size_t DecodingEngine() const {
    for (size_t i = 0; i < fleet_.decode.size(); ++i) {
      if (!EngineRequests(fleet_.decode[i].port).empty()) return i;
    }
    return fleet_.decode.size();
  }

  void ExpectNothingHeld() {
    EXPECT_TRUE(
        Eventually(kBound, [&] { return fleet_.HeldRequests().empty(); }));
  }

  void ExpectWhole(event_stream& stream, const std::string& before = "") {
    ASSERT_TRUE(stream.WaitForEnd(kBound));
    const std::vector<test_event> events = stream.Events();
    EXPECT_EQ(before + StreamedText(events), Whole()) << stream.Answer().body;
    ASSERT_FALSE(events.empty());
    EXPECT_EQ(events.back().data, "[DONE]");
  }

  fleet fleet_{Options()};
};

// --- Reconnect through another daemon after the entry daemon died.

struct kill_case {
  const char* name;
  // Events that the caller has when its daemon dies; 0 for none.
  size_t events;
  // Whether the engine still holds the request then.
  bool finished;
};

class kill_entry_test : public whole_answer,
                        public testing::WithParamInterface<kill_case> {};

TEST_P(kill_entry_test, CallerGetsTheRestThroughAnotherDaemon) {
  const auto first = Open(0);
  if (GetParam().events > 0) {
    ASSERT_TRUE(first->WaitForEvents(GetParam().events, kBound));
  }
  if (GetParam().finished) {
    ASSERT_TRUE(
        Eventually(kBound, [&] { return fleet_.HeldRequests().empty(); }));
  }
  fleet_.daemons[0].process->Kill();
  ASSERT_TRUE(first->WaitForEnd(kBound));
  // The caller has read no more than these, and names the last of them.
  std::vector<test_event> read = first->Events();
  if (read.size() > GetParam().events) read.resize(GetParam().events);
  const auto second = Open(1, read.empty() ? "" : read.back().id);
  ExpectWhole(*second, StreamedText(read));
  ExpectNothingHeld();
}

INSTANTIATE_TEST_SUITE_P(
    cases, kill_entry_test,
    testing::Values(kill_case{"before_the_first_event", 0, false},
                    kill_case{"after_the_first", 1, false},
                    kill_case{"in_the_middle", kTokens / 2, false},
                    kill_case{"at_the_last_token", kTokens - 1, true},
                    kill_case{"between_last_token_and_done", kTokens, true}),
    [](const auto& tested) { return tested.param.name; });

// --- Faults of the engines.

enum class victim { prefill, decode };

struct engine_fault_case {
  const char* name;
  victim of;
  const char* fault;
  QJsonObject parameters;
};

class engine_fault_test
    : public whole_answer,
      public testing::WithParamInterface<engine_fault_case> {};

TEST_P(engine_fault_test, CallerGetsItsWholeAnswerOnce) {
  const std::vector<standin>& engines =
      GetParam().of == victim::prefill ? fleet_.prefill : fleet_.decode;
  for (const standin& engine : engines) {
    SetFault(engine.port, GetParam().fault, GetParam().parameters);
  }
  // A second request at the same time, for answers to be crossed with.
  const auto one = Open(0);
  const auto other = Open(1);
  ExpectWhole(*one);
  ExpectWhole(*other);
  ExpectNothingHeld();
}

INSTANTIATE_TEST_SUITE_P(
    cases, engine_fault_test,
    testing::Values(engine_fault_case{"dropped_at_once",
                                      victim::decode,
                                      "drop_stream_after",
                                      {{"tokens", 0}, {"count", 2}}},
                    engine_fault_case{"dropped_again_and_again",
                                      victim::decode,
                                      "drop_stream_after",
                                      {{"tokens", 7}}},
                    engine_fault_case{"dropped_at_the_last_token",
                                      victim::decode,
                                      "drop_stream_after",
                                      {{"tokens", kTokens - 1}, {"count", 1}}},
                    engine_fault_case{"crossed_prefill",
                                      victim::prefill,
                                      "wrong_id",
                                      {{"path", "/v1/prefill"}, {"count", 1}}},
                    engine_fault_case{"crossed_import",
                                      victim::decode,
                                      "wrong_id",
                                      {{"path", "/v1/import"}, {"count", 1}}},
                    engine_fault_case{"crossed_stream",
                                      victim::decode,
                                      "wrong_id",
                                      {{"path", "/v1/decode"}, {"count", 2}}},
                    engine_fault_case{"late_prefill",
                                      victim::prefill,
                                      "late_answer",
                                      {{"path", "/v1/prefill"}, {"count", 1}}},
                    engine_fault_case{"late_import",
                                      victim::decode,
                                      "late_answer",
                                      {{"path", "/v1/import"}, {"count", 1}}},
                    engine_fault_case{"closed_prefill",
                                      victim::prefill,
                                      "close_after_read",
                                      {{"path", "/v1/prefill"}, {"count", 1}}},
                    engine_fault_case{"closed_import",
                                      victim::decode,
                                      "close_after_read",
                                      {{"path", "/v1/import"}, {"count", 1}}}),
    [](const auto& tested) { return tested.param.name; });

struct engine_end_case {
  const char* name;
  int signal;
  size_t events;
};

class engine_end_test : public whole_answer,
                        public testing::WithParamInterface<engine_end_case> {};

TEST_P(engine_end_test, AnotherEngineContinuesTheAnswer) {
  const auto stream = Open(0);
  ASSERT_TRUE(stream->WaitForEvents(GetParam().events, kBound));
  const size_t engine = DecodingEngine();
  ASSERT_LT(engine, fleet_.decode.size());
  child_process& process = *fleet_.decode[engine].process;
  if (GetParam().signal == SIGKILL) {
    process.Kill();
  } else {
    process.Freeze();
  }
  ExpectWhole(*stream);
  if (GetParam().signal != SIGKILL) process.Thaw();
  ExpectNothingHeld();
}

INSTANTIATE_TEST_SUITE_P(
    cases, engine_end_test,
    testing::Values(
        engine_end_case{"killed_after_the_first_token", SIGKILL, 1},
        engine_end_case{"killed_in_the_middle", SIGKILL, kTokens / 2},
        engine_end_case{"killed_near_the_end", SIGKILL, kTokens - 2},
        engine_end_case{"frozen_in_the_middle", SIGSTOP, kTokens / 2}),
    [](const auto& tested) { return tested.param.name; });

// --- Two daemons at one stream.

TEST_F(whole_answer, LaterReaderFencesTheEarlier) {
  const auto first = Open(0);
  ASSERT_TRUE(first->WaitForEvents(10, kBound));
  const std::vector<test_event> read = first->Events();
  const auto second = Open(1, read.back().id);
  ExpectWhole(*second, StreamedText(read));
  ASSERT_TRUE(first->WaitForEnd(kBound));
  const std::vector<test_event> all = first->Events();
  EXPECT_EQ(all.back().event, "error");
  EXPECT_EQ(all.back().Json()["type"].toString(), "resume_fenced");
  EXPECT_EQ(Whole().rfind(StreamedText(all), 0), 0U) << "not a beginning";
  ExpectNothingHeld();
}

TEST_F(whole_answer, CallerComesBackToTheSameDaemon) {
  const auto first = Open(0);
  ASSERT_TRUE(first->WaitForEvents(5, kBound));
  const std::vector<test_event> read = first->Events();
  // Longer than what is left behind the first reader's grace.
  for (const standin& engine : fleet_.decode) {
    SetFault(engine.port, "stall_decode", {{"ms", 3000}, {"count", 1}});
  }
  first->Cut();
  const auto second = Open(0, read.back().id);
  ExpectWhole(*second, StreamedText(read));
  ExpectNothingHeld();
}

// --- A daemon that was paused past its lease.

TEST_F(whole_answer, ThawedDaemonGoesOnUnderItsNewIncarnation) {
  // Goes on well past the time at which the engine's home cancels what the old
  // incarnation left behind.
  constexpr int kLongAnswer = 500;
  test_request request;
  request.method = "POST";
  request.port = fleet_.daemons[0].caller;
  request.target = "/v1/completions";
  request.headers = fleet_.Caller();
  request.body = BodyText(fleet::Completion(kPrompt, kLongAnswer));
  request.timeout = absl::Seconds(60);
  event_stream stream(request);
  ASSERT_TRUE(stream.WaitForEvents(5, kBound));
  fleet_.daemons[0].process->Freeze();
  absl::SleepFor(kPause);
  fleet_.daemons[0].process->Thaw();
  ASSERT_TRUE(stream.WaitForEnd(kBound));
  EXPECT_EQ(StreamedText(stream.Events()),
            AnswerText("model", kPrompt, kLongAnswer));
  EXPECT_EQ(stream.Events().back().data, "[DONE]");
  ExpectNothingHeld();
}

TEST_F(whole_answer, ThawedDaemonLeavesAStreamThatWasTakenOver) {
  const auto first = Open(0);
  ASSERT_TRUE(first->WaitForEvents(5, kBound));
  const std::vector<test_event> read = first->Events();
  for (const standin& engine : fleet_.decode) {
    SetFault(engine.port, "stall_decode", {{"ms", 3500}, {"count", 1}});
  }
  fleet_.daemons[0].process->Freeze();
  absl::SleepFor(kPause);
  const auto second = Open(1, read.back().id);
  ASSERT_TRUE(Eventually(kBound, [&] {
    return second->Answer().status != 0 || second->Events().empty();
  }));
  fleet_.daemons[0].process->Thaw();
  ExpectWhole(*second, StreamedText(read));
  ASSERT_TRUE(first->WaitForEnd(kBound));
  EXPECT_NE(first->Events().back().data, "[DONE]");
  ExpectNothingHeld();
}

// --- What can't be resumed.

struct refusal_case {
  const char* name;
  const char* request_id;
  const char* team;
  const char* engine;
  bool garbled;
  int status;
  const char* type;
};

class resume_refusal_test : public testing::TestWithParam<refusal_case> {};

TEST_P(resume_refusal_test, GetsAFittingProblem) {
  fleet_options options;
  options.daemons = 1;
  fleet small(options);
  const refusal_case& c = GetParam();
  std::string id =
      FormatResumeToken({c.request_id, c.engine, 3}, c.team, small.PeerKey());
  if (c.garbled) id = "garbled";
  const test_answer answer = Post(small.daemons[0].caller, "/v1/completions",
                                  fleet::Completion(kPrompt, kTokens),
                                  small.Caller({{"Last-Event-ID", id}}));
  EXPECT_EQ(answer.status, c.status) << answer.body;
  EXPECT_TRUE(answer.Json()["type"].toString().endsWith(c.type)) << answer.body;
}

INSTANTIATE_TEST_SUITE_P(
    cases, resume_refusal_test,
    testing::Values(refusal_case{"unknown_id", "never-sent.1", "choir",
                                 "decode-1", false, 410, "resume_gone"},
                    refusal_case{"unknown_engine", "never-sent.1", "choir",
                                 "decode-9", false, 410, "resume_gone"},
                    refusal_case{"another_team", "never-sent.1", "brigade",
                                 "decode-1", false, 403, "forbidden"},
                    refusal_case{"not_an_id", "never-sent.1", "choir",
                                 "decode-1", true, 400, "malformed_request"}),
    [](const auto& tested) { return tested.param.name; });

TEST(expired_stream_test, ResumeAfterTheEngineForgotIsGone) {
  fleet_options options;
  options.daemons = 2;
  // Finished output is kept for 60 s of the engine's clock: 0.6 s here.
  options.decode_options = {"--time-scale=100"};
  fleet fast(options);
  const std::vector<test_event> events =
      CollectEvents(fast.daemons[0].caller, "/v1/completions",
                    fleet::Completion(kPrompt, 8), 100, kBound, fast.Caller());
  ASSERT_EQ(events.size(), 9U);
  EXPECT_TRUE(Eventually(kBound, [&] {
    return Post(fast.daemons[1].caller, "/v1/completions",
                fleet::Completion(kPrompt, 8),
                fast.Caller({{"Last-Event-ID", events[3].id}}))
               .status == 410;
  }));
}

}  // namespace
}  // namespace anvilridge
