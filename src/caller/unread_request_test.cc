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
