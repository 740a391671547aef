#include <atomic>
#include <memory>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "caller/caller_world_for_test.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

/// Longer than the stop leaves idle connections open.
constexpr absl::Duration kLongStall = absl::Milliseconds(700);
constexpr absl::Duration kShortStall = absl::Milliseconds(150);
/// For bytes on the loopback to arrive.
constexpr absl::Duration kArrival = absl::Milliseconds(20);

/// Holds up the threads of a port until this is destroyed, so that timers that
/// run out in the first `past` act before the socket events of that time.
class thread_stall {
 public:
  thread_stall(traffic_threads& threads, absl::Duration past) {
    for (QObject* thread : threads.Contexts()) {
      PostTo(thread, [released = released_, past, thread] {
        // Due before the timers that run out meanwhile.
        RunAfter(thread, absl::Milliseconds(1), [released] {
          while (!*released) absl::SleepFor(absl::Milliseconds(1));
        });
        absl::SleepFor(past);
      });
    }
    absl::SleepFor(past + kArrival);
  }
  ~thread_stall() {
    absl::SleepFor(kArrival);
    *released_ = true;
  }

 private:
  std::shared_ptr<std::atomic<bool>> released_ =
      std::make_shared<std::atomic<bool>>(false);
};

class caller_port_stall_thread_test : public caller_port_thread_test {
 protected:
  /// Sends `bytes` while timers have run out that have not acted.
  void SendWhileStalled(raw_caller& caller, absl::string_view bytes,
                        absl::Duration past) {
    const thread_stall stall(threads_, past);
    caller.Send(bytes);
    caller.Socket().flush();
  }
};

// Guards against resetting an idle connection whose next request has arrived.
TEST_F(caller_port_stall_thread_test,
       ARequestThatArrivesAsTheIdleTimeRunsOutIsAnswered) {
  limits_.idle_timeout = absl::Milliseconds(100);
  Start();
  raw_caller caller(port_->Port());
  caller.Send(Get("/a"));
  ASSERT_TRUE(caller.WaitForText("GET /a"));
  SendWhileStalled(caller, Get("/b"), kShortStall);
  EXPECT_TRUE(caller.WaitForText("GET /b")) << cuts_.Text();
  EXPECT_TRUE(caller.WaitForClose());
  EXPECT_EQ(cuts_.Text(), "");
}

// Guards against resetting a connection with a request on it when a stop
// begins.
TEST_F(caller_port_stall_thread_test,
       ARequestThatArrivesAsAStopClosesIdleConnectionsIsAnswered) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(Get("/a"));
  ASSERT_TRUE(caller.WaitForText("GET /a"));
  port_->BeginDrain();
  SendWhileStalled(caller, Get("/b"), kLongStall);
  EXPECT_TRUE(caller.WaitForText("GET /b")) << cuts_.Text();
  EXPECT_TRUE(caller.WaitForClose());
  EXPECT_EQ(cuts_.Text(), "");
}

// Guards against refusing a request that arrived in time and was read late.
TEST_F(caller_port_stall_thread_test,
       ARequestWhoseRestArrivedDuringAStallIsAnswered) {
  limits_.request_timeout = absl::Milliseconds(100);
  Start();
  raw_caller caller(port_->Port());
  caller.Send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nha");
  ASSERT_TRUE(WaitFor([this] { return port_->RequestsInProgress() == 1; }));
  SendWhileStalled(caller, "lf", kShortStall);
  EXPECT_TRUE(caller.WaitForText("POST /a?  half")) << caller.Text();
}

// Guards against work for callers that have given up while the thread was busy.
TEST_F(caller_port_stall_thread_test, ARequestWhoseCallerHasLeftIsNotHandled) {
  Start();
  raw_caller kept(port_->Port());
  kept.Send(Get("/a"));
  ASSERT_TRUE(kept.WaitForText("GET /a"));
  {
    const thread_stall stall(threads_, kShortStall);
    kept.Send(Get("/b"));
    kept.Socket().flush();
    kept.Socket().close();
    raw_caller fresh(port_->Port());
    fresh.Send(Get("/c"));
    fresh.Socket().flush();
    fresh.Socket().close();
  }
  // Both threads have read what arrived before.
  raw_caller first(port_->Port());
  raw_caller second(port_->Port());
  first.Send(Get("/d"));
  second.Send(Get("/e"));
  EXPECT_TRUE(first.WaitForText("GET /d"));
  EXPECT_TRUE(second.WaitForText("GET /e"));
  EXPECT_EQ(seen_.requests, 3);
}

// Guards against an endless wait for a request that goes on arriving.
TEST_F(caller_port_thread_test, ARequestThatTricklesInIsRefusedInTime) {
  limits_.request_timeout = absl::Milliseconds(200);
  Start();
  raw_caller caller(port_->Port());
  caller.Send("GET / HTTP/1.1\r\nA: ");
  QElapsedTimer clock;
  clock.start();
  EXPECT_TRUE(WaitFor([&] {
    absl::SleepFor(absl::Milliseconds(2));
    caller.Send("a");
    caller.Socket().flush();
    return absl::StrContains(caller.Text(), "HTTP/1.1 408 ");
  }));
  EXPECT_LT(clock.elapsed(), 2000);
}

// Guards against cutting off a caller that took its answer during a stall.
TEST_F(caller_port_stall_thread_test,
       AnAnswerThatIsTakenDuringAStallIsSentWhole) {
  limits_.request_timeout = absl::Milliseconds(100);
  Start();
  raw_caller caller(port_->Port());
  caller.Socket().setReadBufferSize(1024);
  caller.Send(Get("/large"));
  ASSERT_TRUE(WaitFor([this] { return seen_.requests == 1; }));
  // Until no more of the answer fits into the sockets.
  absl::SleepFor(kArrival);
  {
    const thread_stall stall(threads_, kShortStall);
    caller.Socket().setReadBufferSize(0);
    EXPECT_TRUE(WaitFor([&] { return caller.Text().size() > 64 << 10; }));
  }
  EXPECT_TRUE(WaitFor([&] { return caller.Text().size() > 8 << 20; }))
      << cuts_.Text();
}

// Guards against closing connections that have just been used.
TEST_F(caller_port_stall_thread_test, AFreezeOfTheProcessLosesNoRequest) {
  limits_.idle_timeout = absl::Milliseconds(50);
  Start();
  constexpr int kCallers = 40;
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<raw_caller>(port_->Port()));
    callers.back()->Send(Get("/a"));
  }
  for (auto& caller : callers) ASSERT_TRUE(caller->WaitForText("GET /a"));
  int sent = 0;
  {
    const thread_stall stall(threads_, kShortStall);
    for (auto& caller : callers) {
      caller->Text();
      if (caller->Socket().state() != QAbstractSocket::ConnectedState) continue;
      caller->Send(Get("/b"));
      caller->Socket().flush();
      ++sent;
    }
  }
  int answered = 0;
  for (auto& caller : callers) {
    caller->WaitForClose();
    if (absl::StrContains(caller->Text(), "GET /b")) ++answered;
  }
  EXPECT_GT(sent, 0);
  EXPECT_EQ(answered, sent) << cuts_.Text();
}

}  // namespace
}  // namespace anvilridge
