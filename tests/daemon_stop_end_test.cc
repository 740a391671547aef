// What callers see on their sockets while a daemon of the product stops.
#include <csignal>
#include <cstdio>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "harness/caller_socket.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/ledger.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(30);
// From SIGTERM to the end while callers go on: the calls in progress, the close
// of the port, and room for a loaded machine.
constexpr absl::Duration kExitBound = absl::Seconds(5);
// Time for which callers wait for an answer.
constexpr absl::Duration kPatience = absl::Seconds(15);
constexpr absl::Duration kWarmUp = absl::Seconds(1);
constexpr int kCallers = 6;
constexpr int kBatch = 6;

std::string CallText(const fleet& deployment, bool posting, bool keyed) {
  test_headers more;
  if (keyed) more.emplace_back("Idempotency-Key", UuidKey(WallNow()));
  std::string text = absl::StrCat(posting ? "POST " : "GET ",
                                  posting ? kPostingPath : kBalancePath,
                                  " HTTP/1.1\r\n", "Host: a\r\n");
  for (const auto& [name, value] : deployment.Caller(more)) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  const std::string body = R"({"member":7,"fee":12})";
  if (posting) {
    absl::StrAppend(&text, "Content-Type: application/json\r\n",
                    "Content-Length: ", body.size(), "\r\n\r\n", body);
  } else {
    absl::StrAppend(&text, "\r\n");
  }
  return text;
}

// How the calls of all callers ended.
struct call_counts {
  std::mutex mutex;
  int postings_served = 0;
  int reads_served = 0;
  int refused = 0;
  int closed = 0;
  std::vector<std::string> reset;
  std::vector<std::string> odd;

  void Add(const caller_socket& socket) {
    const std::lock_guard lock(mutex);
    for (const sent_request& request : socket.Requests()) {
      const bool posting = request.id == "posting";
      if (request.status == (posting ? 201 : 200)) {
        ++(posting ? postings_served : reads_served);
      } else if (request.status == 503) {
        ++refused;
      } else if (request.status != 0) {
        odd.push_back(absl::StrCat(request.id, " ", request.status));
      } else if (socket.End() == connection_end::reset) {
        reset.push_back(request.id);
      } else if (socket.End() == connection_end::closed) {
        ++closed;
      } else {
        odd.push_back(absl::StrCat(request.id, " got nothing"));
      }
    }
  }
};

// Calls on new connections, several at a time, and a second time on those that
// stay open, until the port is gone.
void CallUntilGone(const fleet& deployment, uint16_t port,
                   call_counts& counts) {
  const absl::Time deadline = MonotonicNow() + kBound;
  bool gone = false;
  while (!gone && MonotonicNow() < deadline) {
    std::vector<std::unique_ptr<caller_socket>> sockets;
    for (int i = 0; i < kBatch && !gone; ++i) {
      auto socket = std::make_unique<caller_socket>(port);
      gone = !socket->Connected();
      if (gone) break;
      const bool posting = i % 2 == 0;
      socket->Send(CallText(deployment, posting, i % 4 == 0),
                   {{.id = posting ? "posting" : "read"}});
      sockets.push_back(std::move(socket));
    }
    for (const auto& socket : sockets) {
      socket->ReadAnswers(kPatience);
      if (!socket->MustClose()) {
        socket->Send(CallText(deployment, false, false), {{.id = "read"}});
        socket->ReadAnswers(kPatience);
      }
      counts.Add(*socket);
    }
  }
}

struct stop_case {
  std::string name;
  // Time by which the service's answers are late.
  absl::Duration delay;
  // Whether all daemons stop together.
  bool together;
};

void PrintTo(const stop_case& tested, std::ostream* out) {
  *out << tested.name;
}

class daemon_stop_end_test : public testing::TestWithParam<stop_case> {};

// Guards against calls that are reset when a stop ends, or are passed on and
// left without their answer, and against stops that last while callers come.
TEST_P(daemon_stop_end_test, EachCallIsAnsweredOrCrossesTheClose) {
  fleet_options options;
  options.daemons = 2;
  options.services = 1;
  fleet deployment(options);
  fleet_daemon& stopping = deployment.daemons[0];
  const absl::Duration delay = GetParam().delay;
  if (delay > absl::ZeroDuration()) {
    SetServiceFault(deployment, "late_answer",
                    {{"ms", static_cast<int>(absl::ToInt64Milliseconds(delay))},
                     {"count", 1000000}});
  }
  call_counts counts;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(
        [&] { CallUntilGone(deployment, stopping.caller, counts); });
  }
  std::this_thread::sleep_for(absl::ToChronoMilliseconds(kWarmUp));
  stopping.process->Signal(SIGTERM);
  if (GetParam().together) deployment.daemons[1].process->Signal(SIGTERM);
  EXPECT_EQ(stopping.process->WaitForExit(delay + kExitBound), 0);
  for (std::thread& caller : callers) caller.join();
  std::printf(
      "%d postings and %d reads served, %d refused, %d crossed the "
      "close, %zu reset\n",
      counts.postings_served, counts.reads_served, counts.refused,
      counts.closed, counts.reset.size());
  EXPECT_GT(counts.postings_served, 0);
  EXPECT_EQ(RunsOfAll(deployment), counts.postings_served);
  EXPECT_EQ(ReadsOfAll(deployment), counts.reads_served);
  EXPECT_THAT(counts.reset, testing::IsEmpty());
  EXPECT_THAT(counts.odd, testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(
    stops, daemon_stop_end_test,
    testing::Values(stop_case{"Quick", absl::ZeroDuration(), false},
                    stop_case{"QuickTogether", absl::ZeroDuration(), true},
                    stop_case{"Slow", absl::Milliseconds(800), false},
                    stop_case{"SlowTogether", absl::Milliseconds(800), true},
                    stop_case{"VerySlow", absl::Seconds(6), false}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace anvilridge
