// Load pattern: callers that send large requests, or don't take large answers,
// over many connections, beside others that behave.
#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "caller/caller_world_for_test.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr int64_t kBound = int64_t{4} << 20;

// Returns a request whose body of `bytes` lacks its last byte.
std::string Unfinished(size_t bytes) {
  return absl::StrCat("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: ",
                      bytes + 1, "\r\n\r\n", std::string(bytes, 'x'));
}

class held_bytes_thread_test : public caller_port_thread_test {
 protected:
  void SetUp() override {
    limits_.max_body_bytes = 16 << 20;
    limits_.request_timeout = absl::Seconds(5);
    Start();
    // No connection has been made yet.
    port_->SetMaxHeldBytes(kBound);
  }

  std::unique_ptr<raw_caller> Connect() {
    return std::make_unique<raw_caller>(port_->Port());
  }
};

TEST_F(held_bytes_thread_test, LargeRequestsAreBoundedInSum) {
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(Connect());
    callers.back()->Send(Unfinished(1 << 20));
  }
  const auto refused = [&] {
    int count = 0;
    for (const auto& caller : callers) {
      if (absl::StartsWith(caller->Text(), "HTTP/1.1 503 ")) ++count;
    }
    return count;
  };
  // Three or four megabytes fit.
  EXPECT_TRUE(WaitFor([&] { return refused() >= 4; }));
  for (const auto& caller : callers) {
    if (caller->Text().empty()) continue;
    EXPECT_EQ(caller->Problem()["type"].toString().toStdString(), "overloaded");
    EXPECT_EQ(caller->Problem()["ran"].toString().toStdString(), "not_run");
  }
  EXPECT_EQ(seen_.requests, 0);
  // Short requests are served meanwhile.
  const auto other = Connect();
  other->Send(Get("/short"));
  EXPECT_TRUE(other->WaitForText("GET /short"));
  EXPECT_LT(refused(), 8);
}

TEST_F(held_bytes_thread_test, MemoryIsFreeAgainOnceACallerHasLeft) {
  for (int round = 0; round < 3; ++round) {
    auto caller = Connect();
    caller->Send(Unfinished(3 << 20));
    caller->Send("x");
    EXPECT_TRUE(caller->WaitForText("HTTP/1.1 200"))
        << "round " << round << ": " << caller->Text();
    caller.reset();
    EXPECT_TRUE(WaitFor([&] { return port_->Connections() == 0; }));
  }
}

// Each of these answers has 8 MiB, and is not read.
TEST_F(held_bytes_thread_test, AnswersThatNobodyTakesAreCut) {
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(Connect());
    callers.back()->Socket().setReadBufferSize(1);
    callers.back()->Send(Get("/large"));
    ASSERT_TRUE(WaitFor([&] { return seen_.requests == i + 1; }));
  }
  EXPECT_TRUE(WaitFor([&] {
    return absl::StrContains(cuts_.Text(), "answering no_memory") ||
           absl::StrContains(cuts_.Text(), "flushing no_memory");
  }));
  callers.clear();
  EXPECT_TRUE(WaitFor([&] { return port_->RequestsInProgress() == 0; }));
  const auto other = Connect();
  other->Send(Get("/short"));
  EXPECT_TRUE(other->WaitForText("GET /short"));
}

// Returns the bytes that this process has allocated.
size_t AllocatedBytes() {
  const struct mallinfo2 info = ::mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Guards against connections that keep their last request while they rest.
TEST_F(held_bytes_thread_test, RestingConnectionsKeepNoRequest) {
  constexpr size_t kCallers = 40;
  constexpr size_t kBodyBytes = 256 << 10;
  constexpr size_t kKeptByEach = 32 << 10;
  std::vector<std::unique_ptr<raw_caller>> callers;
  const auto ask_all = [&](size_t body_bytes, size_t answers) {
    for (const auto& caller : callers) {
      caller->Send(absl::StrCat(
          "POST /stream HTTP/1.1\r\nHost: a\r\nContent-Length: ", body_bytes,
          "\r\n\r\n", std::string(body_bytes, 'x')));
      EXPECT_TRUE(WaitFor([&] {
        const std::vector<std::string> ends =
            absl::StrSplit(caller->Text(), "0\r\n\r\n");
        return ends.size() == answers + 1;
      }));
    }
  };
  for (size_t i = 0; i < kCallers; ++i) callers.push_back(Connect());
  ask_all(1, 1);
  const size_t before = AllocatedBytes();
  ask_all(kBodyBytes, 2);
  EXPECT_LT(AllocatedBytes(), before + kCallers * kKeptByEach);
}

}  // namespace
}  // namespace anvilridge
