#include <atomic>
#include <csignal>
#include <memory>
#include <mutex>
#include <thread>

#include "common/token_text.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(20);
// From the last answer on the stopping daemon to its end: a poll of the stop,
// the close of idle connections, and room for a loaded machine.
constexpr absl::Duration kExitBound = absl::Seconds(5);
constexpr char kPrompt[] = "Draft a proof note for the new card order.";
constexpr int kTokens = 150;
constexpr int kStreams = 6;

test_request Streaming(const fleet& f, const fleet_daemon& daemon, int tokens) {
  test_request request;
  request.method = "POST";
  request.port = daemon.caller;
  request.target = "/v1/completions";
  request.headers = f.Caller();
  request.body = BodyText(fleet::Completion(kPrompt, tokens));
  request.timeout = absl::Seconds(60);
  return request;
}

void ExpectWhole(event_stream& stream, int tokens) {
  ASSERT_TRUE(stream.WaitForEnd(kBound));
  const std::vector<test_event> events = stream.Events();
  EXPECT_EQ(StreamedText(events), AnswerText("model", kPrompt, tokens))
      << stream.Answer().body;
  ASSERT_FALSE(events.empty());
  EXPECT_EQ(events.back().data, "[DONE]");
}

fleet_options Options() {
  fleet_options options;
  options.daemons = 4;
  options.prefill_engines = 2;
  options.decode_engines = 2;
  return options;
}

struct stop_case {
  const char* name;
  bool log_down;
  // Whether an engine died with cancels still to be confirmed.
  bool engine_down;
};

class planned_stop_test : public testing::TestWithParam<stop_case> {};

TEST_P(planned_stop_test, CutsNothingAndEndsInTime) {
  fleet f(Options());
  fleet_daemon& stopping = f.daemons[1];
  if (GetParam().log_down) SetFault(f.platform.port, "outage");
  if (GetParam().engine_down) {
    // A request whose cancel can't be confirmed.
    SetFault(f.prefill[0].port, "stall_prefill");
    SetFault(f.prefill[1].port, "stall_prefill");
    event_stream left(Streaming(f, stopping, 8));
    ASSERT_TRUE(Eventually(kBound, [&] { return !f.HeldRequests().empty(); }));
    for (standin& engine : f.prefill) engine.process->Kill();
    left.Cut();
    stopping.process->Signal(SIGTERM);
    EXPECT_EQ(stopping.process->WaitForExit(kExitBound * 2), 0);
    return;
  }
  std::vector<std::unique_ptr<event_stream>> streams;
  streams.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(
        std::make_unique<event_stream>(Streaming(f, stopping, kTokens)));
  }
  for (const auto& stream : streams) {
    ASSERT_TRUE(stream->WaitForEvents(1, kBound));
  }
  stopping.process->Signal(SIGTERM);
  ASSERT_TRUE(Eventually(kBound, [&] { return !stopping.Ready(); }));
  const test_answer refused = Post(stopping.caller, "/v1/completions",
                                   fleet::Completion(kPrompt, 4), f.Caller());
  EXPECT_EQ(refused.status, 503) << refused.error;
  EXPECT_EQ(refused.Json()["type"].toString(), "shutting_down");
  EXPECT_EQ(refused.Json()["ran"].toString(), "not_run");
  EXPECT_FALSE(refused.Header("retry-after").empty());
  for (size_t i = 0; i < f.daemons.size(); ++i) {
    if (i == 1) continue;
    event_stream fresh(Streaming(f, f.daemons[i], 8));
    ExpectWhole(fresh, 8);
  }
  for (const auto& stream : streams) ExpectWhole(*stream, kTokens);
  EXPECT_EQ(stopping.process->WaitForExit(kExitBound), 0);
  EXPECT_TRUE(Eventually(kExitBound, [&] { return f.HeldRequests().empty(); }));
  // Its homes have moved: the others still place.
  for (size_t i = 0; i < f.daemons.size(); ++i) {
    if (i == 1) continue;
    event_stream fresh(Streaming(f, f.daemons[i], 8));
    ExpectWhole(fresh, 8);
  }
}

INSTANTIATE_TEST_SUITE_P(cases, planned_stop_test,
                         testing::Values(stop_case{"log_up", false, false},
                                         stop_case{"log_down", true, false},
                                         stop_case{"engine_down", false, true}),
                         [](const auto& tested) { return tested.param.name; });

// Callers that ask one daemon after the other and pass over those that are
// stopping, as the platform's balancer does.
class caller_load {
 public:
  caller_load(const fleet& f, int callers) : fleet_(f) {
    for (int i = 0; i < callers; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }
  ~caller_load() { Stop(); }

  void SetPort(size_t daemon, uint16_t port) {
    const std::lock_guard lock(mutex_);
    ports_[daemon] = port;
  }

  void Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
  }

  int Whole() const { return whole_; }
  std::vector<std::string> Broken() const {
    const std::lock_guard lock(mutex_);
    return broken_;
  }

 private:
  void Run(int caller) {
    for (size_t turn = caller; !stopped_; ++turn) {
      test_request request = Streaming(fleet_, fleet_.daemons[0], kLoadTokens);
      {
        const std::lock_guard lock(mutex_);
        request.port = ports_[turn % ports_.size()];
      }
      if (request.port == 0) continue;
      event_stream stream(request);
      stream.WaitForEnd(kBound);
      Judge(stream);
    }
  }

  void Judge(const event_stream& stream) {
    const test_answer answer = stream.Answer();
    // Refused, or not reached, before anything ran: the next daemon is asked.
    if (answer.status == 0 && answer.body.empty()) return;
    if (answer.status == 503 && answer.Json()["ran"].toString() == "not_run") {
      return;
    }
    const bool whole = StreamedText(stream.Events()) ==
                           AnswerText("model", kPrompt, kLoadTokens) &&
                       stream.Events().back().data == "[DONE]";
    if (whole) {
      ++whole_;
      return;
    }
    const std::lock_guard lock(mutex_);
    broken_.push_back(answer.body + answer.error);
  }

  static constexpr int kLoadTokens = 25;
  const fleet& fleet_;
  mutable std::mutex mutex_;
  std::vector<uint16_t> ports_ = std::vector<uint16_t>(4, 0);
  std::vector<std::string> broken_;
  std::atomic<int> whole_ = 0;
  std::atomic<bool> stopped_ = false;
  std::vector<std::thread> threads_;
};

TEST(rolling_replacement_test, CutsNothing) {
  fleet f(Options());
  caller_load load(f, 8);
  for (size_t i = 0; i < f.daemons.size(); ++i) {
    load.SetPort(i, f.daemons[i].caller);
  }
  for (size_t i = 0; i < f.daemons.size(); ++i) {
    const int before = load.Whole();
    ASSERT_TRUE(Eventually(kBound, [&] { return load.Whole() > before + 10; }));
    f.daemons[i].process->Signal(SIGTERM);
    // The balancer notices within a moment that it is not ready.
    Eventually(kBound, [&] { return !f.daemons[i].Ready(); });
    load.SetPort(i, 0);
    ASSERT_EQ(f.daemons[i].process->WaitForExit(kBound), 0);
    f.RestartDaemon(i);
    ASSERT_TRUE(f.WaitReady(kBound));
    load.SetPort(i, f.daemons[i].caller);
  }
  const int before = load.Whole();
  EXPECT_TRUE(Eventually(kBound, [&] { return load.Whole() > before + 10; }));
  load.Stop();
  EXPECT_THAT(load.Broken(), testing::IsEmpty());
  EXPECT_TRUE(Eventually(kBound, [&] { return f.HeldRequests().empty(); }));
}

}  // namespace
}  // namespace anvilridge
