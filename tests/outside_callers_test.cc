// Callers that are each within the limits, but too many: guards against a
// process that runs out of memory or stops answering.
#include <string>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "harness/caller_crowd.h"
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

class outside_callers_test : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(scene_.Start(kSettings)); }

  // Has `kConnections` connections to `port` send `text`, in parts of `bytes`
  // taken in turn, and stay open.
  void SendFromAll(uint16_t port, const std::string& text, size_t bytes) {
    ASSERT_EQ(callers_.Connect(port, kConnections), kConnections);
    callers_.Send(text, bytes, [this] {
      CheckProcess();
      return !HasFailure();
    });
  }

  void CheckProcess() {
    ASSERT_TRUE(scene_.Daemon().Running());
    const pid_t pid = scene_.Daemon().Pid();
    const int64_t memory_kb = ProcessStatus(pid, "VmHWM:");
    ASSERT_GT(memory_kb, 0);
    ASSERT_LE(memory_kb, kMachineMb * 1024);
    const int descriptors = OpenDescriptors(pid);
    ASSERT_GT(descriptors, 0);
    ASSERT_LE(descriptors, kMaxDescriptors);
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
  caller_crowd callers_;
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

// Callers that connect and say nothing.
TEST_F(outside_callers_test, SilentConnections) {
  SendFromAll(scene_.CallerPort(), "", 1);
  SendFromAll(scene_.ReadyPort(), "", 1);
  EXPECT_TRUE(Eventually(kBound, [this] {
    return OpenDescriptors(scene_.Daemon().Pid()) > 2 * kConnections;
  }));
  ExpectUnharmed();
}

// Callers that leave at once: what they have asked for is still in progress.
TEST_F(outside_callers_test, ResetsRightAfterARequest) {
  const std::string text = Head(absl::StrCat("Content-Length: ", kBodyBytes)) +
                           std::string(kBodyBytes, 'x');
  constexpr int kRounds = 4;
  for (int round = 0; round < kRounds; ++round) {
    SendFromAll(scene_.CallerPort(), text, text.size());
    callers_.Reset();
  }
  ExpectUnharmed();
}

// Streams whose engine sends much, and whose callers read none of it.
TEST_F(outside_callers_test, StreamsWhoseEventsAreNotRead) {
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    const std::string head = absl::StrCat(platform_scene::Head(request, 200),
                                          "Transfer-Encoding: chunked\r\n\r\n");
    socket.write(head.data(), static_cast<qint64>(head.size()));
    constexpr int kEvents = 2000;
    constexpr size_t kEventBytes = 1024;
    for (int i = 1; i <= kEvents; ++i) {
      const std::string event = absl::StrCat(
          "id: ", i, "\ndata: ", std::string(kEventBytes, 'x'), "\n\n");
      const std::string chunk =
          absl::StrCat(absl::Hex(event.size()), "\r\n", event, "\r\n");
      socket.write(chunk.data(), static_cast<qint64>(chunk.size()));
    }
  });
  SendFromAll(scene_.CallerPort(),
              "POST /draft/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q\r\n"
              "Token-Count: 100,2000\r\nContent-Length: 2\r\n\r\nhi",
              1024);
  // As many as the engine has slots, and more once the first are cut off.
  constexpr size_t kStreams = 8;
  EXPECT_TRUE(Eventually(kBound, [this] {
    CheckProcess();
    return HasFailure() || scene_.AtDecode().size() >= kStreams;
  }));
  ExpectUnharmed();
}

// Callers whose key nobody holds, with bodies that stop just short of their
// end.
TEST_F(outside_callers_test, BodiesWithoutAKey) {
  scene_.Put("keyed.op", "config",
             R"({"Version":7,"Routes":[{"Name":"post","Host":"a.example",)"
             R"("PathPrefix":"/post/","Kind":"unsafe","TimeoutMs":2000,)"
             R"("LatencyTargetMs":150,"Attempts":1,"Service":"ledger"}],)"
             R"("Services":[{"Name":"ledger","MaxConns":9}],)"
             R"("Tenants":[{"Name":"north","ApiKeys":["k-north-7c1f09"]}]})");
  test_request request;
  request.method = "POST";
  request.port = scene_.CallerPort();
  request.target = "/post/1";
  request.headers = {{"Host", "a.example"}, {"Request-Id", "q1"}};
  request.body = "fee";
  ASSERT_TRUE(Eventually(kBound, [&] { return Send(request).status == 401; }));
  const std::string text =
      Head(absl::StrCat("Authorization: Token k-west-000000\r\n",
                        "Content-Length: ", kBodyBytes)) +
      std::string(kBodyBytes - 1, 'x');
  SendFromAll(scene_.CallerPort(), text, 16 << 10);
  CheckProcess();
  request.headers.emplace_back("Authorization", "Token k-north-7c1f09");
  EXPECT_TRUE(Eventually(kBound, [&] { return Send(request).status == 200; }));
  CheckProcess();
}

}  // namespace
}  // namespace anvilridge
