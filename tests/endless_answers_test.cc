// Upstreams that send bytes that are no answer, without end, to many callers at
// once: what the daemon keeps of them is bounded, and other callers are served.
#include <QTcpSocket>
#include <algorithm>
#include <atomic>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "gtest/gtest.h"
#include "harness/platform_scene.h"
#include "harness/test_http.h"
#include "upstreams/kept_bytes.h"
#include "upstreams/testing/endless_server.h"

namespace anvilridge {
namespace {

constexpr size_t kBlockBytes = 64 << 10;

// Returns a handler that sends `answer`, then more as fast as it is read.
raw_server::handler SendWithoutEnd(const endless_answer& answer) {
  std::string block;
  while (block.size() < kBlockBytes) block += answer.repeated;
  return [begin = answer.begin, block](QTcpSocket& socket, const raw_request&) {
    QObject::connect(&socket, &QTcpSocket::bytesWritten, [&socket, block] {
      if (socket.bytesToWrite() > 0) return;
      socket.write(block.data(), static_cast<qint64>(block.size()));
    });
    const std::string first = begin + block;
    socket.write(first.data(), static_cast<qint64>(first.size()));
  };
}

// Returns the highest memory use of a process so far, in bytes.
size_t PeakMemory(pid_t process) {
  std::ifstream status(absl::StrCat("/proc/", process, "/status"));
  std::string line;
  while (std::getline(status, line)) {
    const std::vector<std::string> words =
        absl::StrSplit(line, absl::ByAnyChar(" \t"), absl::SkipEmpty());
    size_t kilobytes = 0;
    if (words.size() > 1 && words[0] == "VmHWM:" &&
        absl::SimpleAtoi(words[1], &kilobytes)) {
      return kilobytes << 10;
    }
  }
  return 0;
}

class endless_answers_test : public testing::TestWithParam<endless_answer> {
 protected:
  void StartWithMemory(int megabytes) {
    ASSERT_TRUE(scene_.Start(
        absl::StrCat("slack = 50\n[memory]\nmachine_mb = ", megabytes)));
  }

  int Post(int number) {
    test_request request;
    request.method = "POST";
    request.port = scene_.CallerPort();
    request.target = absl::StrCat("/post/", number);
    request.headers = {{"Host", "a.example"},
                       {"Request-Id", absl::StrCat("post-", number)}};
    request.body = "fee";
    return Send(request).status;
  }

  int Draft(int number) {
    test_request request;
    request.method = "POST";
    request.port = scene_.CallerPort();
    request.target = absl::StrCat("/draft/", number);
    request.headers = {{"Host", "a.example"},
                       {"Request-Id", absl::StrCat("draft-", number)},
                       {"Token-Count", "100,400"},
                       {"Deadline-Ms", "4000"}};
    request.body = "prompt";
    return Send(request).status;
  }

  platform_scene scene_;
};

std::vector<endless_answer> Forms() {
  std::vector<endless_answer> forms = EndlessAnswers();
  forms.push_back({"body_of_a_huge_length",
                   "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n",
                   "b"});
  return forms;
}

INSTANTIATE_TEST_SUITE_P(forms, endless_answers_test,
                         testing::ValuesIn(Forms()),
                         [](const auto& form) { return form.param.name; });

TEST_P(endless_answers_test, ManyAtOnceDoNotFillTheMemory) {
  constexpr int kMemoryMb = 64;
  constexpr int kCallers = 40;
  // Buffers grow by doubling, which takes up to three times what they hold
  // while they are copied; the rest is for 40 connections and the log.
  const size_t bound =
      3 * KeptBytesLimitsFor(size_t{kMemoryMb} << 20).per_upstream +
      (size_t{8} << 20);
  StartWithMemory(kMemoryMb);
  scene_.OnService(SendWithoutEnd(GetParam()));
  ASSERT_EQ(Draft(0), 200);
  const size_t before = PeakMemory(scene_.Daemon().Pid());
  std::atomic<int> failed = 0;
  std::atomic<int> timed_out = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const int status = Post(i);
      // 504 where the time limit came before the bound. Both leave it open
      // whether the request has run.
      if (status == 502 || status == 504) {
        ++failed;
      } else {
        ADD_FAILURE() << "status " << status;
      }
      if (status == 504) ++timed_out;
    });
  }
  for (int i = 1; i <= 10; ++i) EXPECT_EQ(Draft(i), 200);
  for (std::thread& caller : callers) caller.join();
  EXPECT_EQ(failed, kCallers);
  RecordProperty("timed_out", timed_out);
  EXPECT_TRUE(scene_.Daemon().Running());
  EXPECT_LT(PeakMemory(scene_.Daemon().Pid()) - before, bound);
}

// The events that have not ended count for all streams of an engine together.
TEST_F(endless_answers_test, EventsWithoutEndShareABound) {
  constexpr int kMemoryMb = 16;
  constexpr int kStreams = 4;
  StartWithMemory(kMemoryMb);
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    const std::string head = platform_scene::Head(request, 200) + "\r\n";
    SendWithoutEnd({"event", head + "id: 1\ndata: ", "a"})(socket, request);
  });
  std::vector<std::thread> callers;
  callers.reserve(kStreams);
  std::atomic<int> failed = 0;
  for (int i = 0; i < kStreams; ++i) {
    callers.emplace_back([&, i] { failed += Draft(i) == 502 ? 1 : 0; });
  }
  for (int i = 0; i < 10; ++i) EXPECT_EQ(Post(i), 200);
  for (std::thread& caller : callers) caller.join();
  EXPECT_EQ(failed, kStreams);
  // Each stream alone would have been cut off at 1 MiB.
  const std::string log = scene_.Daemon().Out();
  int below = 0;
  for (absl::string_view line : absl::StrSplit(log, '\n')) {
    const std::vector<std::string> parts =
        absl::StrSplit(line, absl::MaxSplits("the engine sent ", 1));
    if (parts.size() < 2) continue;
    const std::vector<std::string> words = absl::StrSplit(parts[1], ' ');
    size_t bytes = 0;
    ASSERT_TRUE(absl::SimpleAtoi(words[0], &bytes)) << line;
    if (bytes < (size_t{1} << 20)) ++below;
  }
  EXPECT_GE(below, kStreams - 1);
}

}  // namespace
}  // namespace anvilridge
