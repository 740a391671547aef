// Callers that are each within the limits, but too many: guards against a
// process that runs out of memory or stops answering.
#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/platform_scene.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

// Memory of the machine that the daemon is told, and so the bound on its own.
constexpr int64_t kMachineMb = 64;
// Connections at the same time, and the bound on the descriptors of the
// process.
constexpr int kConnections = 120;
constexpr int kMaxDescriptors = 400;
// A body of legal size.
constexpr size_t kBodyBytes = 1 << 20;
constexpr absl::Duration kBound = absl::Seconds(20);
constexpr char kSettings[] =
    "slack = 50\n[memory]\nmachine_mb = 64\n"
    "[limits]\nmax_body_bytes = 1048576\nmax_connections = 300\n";

// A connection that sends what it is given as far as it is taken, and reads no
// answer.
class unread_answers_caller {
 public:
  explicit unread_answers_caller(uint16_t port)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int small = 4096;
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0) {
      Close();
      return;
    }
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~unread_answers_caller() { Close(); }
  unread_answers_caller(const unread_answers_caller&) = delete;
  unread_answers_caller& operator=(const unread_answers_caller&) = delete;

  // Sends a part of `text` that was not sent yet, of at most `bytes`. Returns
  // false once all is sent, or if the daemon takes nothing more.
  bool SendSome(const std::string& text, size_t bytes) {
    if (fd_ < 0 || sent_ >= text.size()) return false;
    pollfd ready = {fd_, POLLOUT, 0};
    // Long enough for a busy daemon; one that doesn't read takes nothing more.
    constexpr int kTakeMs = 200;
    if (::poll(&ready, 1, kTakeMs) <= 0) return false;
    const ssize_t taken =
        ::send(fd_, text.data() + sent_, std::min(bytes, text.size() - sent_),
               MSG_NOSIGNAL);
    if (taken < 0 && errno != EAGAIN) Close();
    if (taken > 0) sent_ += static_cast<size_t>(taken);
    return taken > 0;
  }

 private:
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

  int fd_;
  size_t sent_ = 0;
};

class outside_callers_test : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(scene_.Start(kSettings)); }

  // Has `kConnections` connections to `port` send `text`, in parts of `bytes`
  // taken in turn, and stay open.
  void SendFromAll(uint16_t port, const std::string& text, size_t bytes) {
    for (int i = 0; i < kConnections; ++i) {
      callers_.push_back(std::make_unique<unread_answers_caller>(port));
    }
    bool more = true;
    while (more) {
      more = false;
      for (const auto& caller : callers_) {
        if (caller->SendSome(text, bytes)) more = true;
      }
      CheckProcess();
      if (HasFailure()) return;
    }
  }

  // Returns a number from the process's status, in the unit that it has there.
  int64_t Status(absl::string_view field) {
    std::ifstream status(
        absl::StrCat("/proc/", scene_.Daemon().Pid(), "/status"));
    std::string line;
    while (std::getline(status, line)) {
      if (!absl::StartsWith(line, field)) continue;
      int64_t number = 0;
      const size_t digit = line.find_first_of("0123456789");
      const std::string text =
          line.substr(digit, line.find(' ', digit) - digit);
      return absl::SimpleAtoi(text, &number) ? number : -1;
    }
    return -1;
  }

  int Descriptors() {
    DIR* folder =
        ::opendir(absl::StrCat("/proc/", scene_.Daemon().Pid(), "/fd").c_str());
    if (folder == nullptr) return -1;
    int count = 0;
    while (::readdir(folder) != nullptr) ++count;
    ::closedir(folder);
    return count;
  }

  void CheckProcess() {
    ASSERT_TRUE(scene_.Daemon().Running());
    ASSERT_LE(Status("VmHWM:"), kMachineMb * 1024);
    ASSERT_LE(Descriptors(), kMaxDescriptors);
  }

  // An ordinary caller comes back as it is told to.
  bool IsServed() {
    test_request request;
    request.method = "POST";
    request.port = scene_.CallerPort();
    request.target = "/post/1";
    request.headers = {{"Host", "a.example"}, {"Request-Id", "q1"}};
    request.body = "fee";
    return Eventually(kBound, [&] { return Send(request).status == 200; });
  }

  void ExpectUnharmed() {
    CheckProcess();
    EXPECT_TRUE(IsServed());
    CheckProcess();
  }

  static std::string Head(absl::string_view framing) {
    return absl::StrCat(
        "POST /post/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q\r\n",
        framing, "\r\n\r\n");
  }

  static std::string Pipelined(absl::string_view request, size_t bytes) {
    std::string text;
    while (text.size() < bytes) absl::StrAppend(&text, request);
    return text;
  }

  platform_scene scene_;
  std::vector<std::unique_ptr<unread_answers_caller>> callers_;
};

TEST_F(outside_callers_test, BodiesThatStopJustShortOfTheirEnd) {
  const std::string text = Head(absl::StrCat("Content-Length: ", kBodyBytes)) +
                           std::string(kBodyBytes - 1, 'x');
  SendFromAll(scene_.CallerPort(), text, text.size());
  ExpectUnharmed();
}

TEST_F(outside_callers_test, BodiesInPartsThatStopJustShortOfTheirEnd) {
  const std::string text = Head(absl::StrCat("Content-Length: ", kBodyBytes)) +
                           std::string(kBodyBytes - 1, 'x');
  SendFromAll(scene_.CallerPort(), text, 16 << 10);
  ExpectUnharmed();
}

TEST_F(outside_callers_test, ChunkedBodiesThatStopJustShortOfTheirEnd) {
  std::string text = Head("Transfer-Encoding: chunked");
  const std::string chunk =
      absl::StrCat("1000\r\n", std::string(0x1000, 'x'), "\r\n");
  for (size_t i = 0; i < kBodyBytes / 0x1000; ++i) text += chunk;
  SendFromAll(scene_.CallerPort(), text, 16 << 10);
  ExpectUnharmed();
}

TEST_F(outside_callers_test, WholeBodies) {
  const std::string text = Head(absl::StrCat("Content-Length: ", kBodyBytes)) +
                           std::string(kBodyBytes, 'x');
  SendFromAll(scene_.CallerPort(), text, text.size());
  ExpectUnharmed();
}

TEST_F(outside_callers_test, PipelinedRequestsAtThePathThatSaysReady) {
  const std::string text =
      Pipelined("GET /readyz HTTP/1.1\r\nHost: a.example\r\n\r\n", 1 << 20);
  SendFromAll(scene_.ReadyPort(), text, 64 << 10);
  ExpectUnharmed();
  EXPECT_TRUE(Eventually(kBound, [&] {
    return Get(scene_.ReadyPort(), "/readyz").status == 200;
  }));
}

TEST_F(outside_callers_test, PipelinedRequestsAtPathsThatNoRouteHas) {
  const std::string text = Pipelined(
      "GET /none/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q\r\n\r\n",
      1 << 20);
  SendFromAll(scene_.CallerPort(), text, 64 << 10);
  ExpectUnharmed();
}

TEST_F(outside_callers_test, HeaderFieldsOneByteAtATime) {
  const std::string text = absl::StrCat(
      "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX: ", std::string(60, 'x'));
  SendFromAll(scene_.CallerPort(), text, 1);
  ExpectUnharmed();
}

}  // namespace
}  // namespace anvilridge
