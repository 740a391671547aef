// Answers of upstreams that break off, over a real daemon of a fleet: what its
// callers see, and what is sent again.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QTcpSocket>
#include <atomic>
#include <string>
#include <thread>
#include <utility>

#include "base/clock.h"
#include "dispatch/daemon_count.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/platform_scene.h"
#include "harness/test_http.h"
#include "upstreams/testing/cut_answers.h"
#include "upstreams/testing/malformed_statuses.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(10);
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

void Write(QTcpSocket& socket, absl::string_view text) {
  socket.write(text.data(), static_cast<qint64>(text.size()));
}

class cut_answer_path_test : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(scene_.Start(
        "slack = 2000\nratio = 1\n[limits]\nmax_body_bytes = 4194304"));
  }

  test_answer Ask(const std::string& method, const std::string& target,
                  const std::string& body = "fee") {
    test_request request;
    request.method = method;
    request.port = scene_.CallerPort();
    request.target = target;
    request.headers = {{"Host", "a.example"},
                       {"Request-Id", absl::StrCat("q", ++last_id_)},
                       {"Token-Count", "100,400"},
                       {"Deadline-Ms", "4000"}};
    if (method == "POST") request.body = body;
    return Send(request);
  }

  // Adds another upstream beside the first of its service.
  void AddUpstream(const std::string& id, const std::string& service,
                   const std::string& address, const std::string& stage) {
    scene_.Put(
        "keyed.servers", id,
        absl::StrCat(R"({"Service":")", service, R"(","Addr":")", address,
                     R"(","Zone":"z","Slots":4,"State":"ready",)",
                     R"("Stage":")", stage, R"(","Seq":0})"));
    ASSERT_TRUE(Eventually(kBound, [&] {
      return scene_.Daemon().Out().find(absl::StrCat(
                 R"("upstream":")", id, "\"")) != std::string::npos;
    }));
    // Until then it has no extra sends.
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(kCountSettleTime) +
                                std::chrono::milliseconds(500));
  }

  platform_scene scene_;
  int last_id_ = 0;
};

// Returns `whole` as the answer to `request`, cut behind `size` bytes.
cut_answer CutFor(const raw_request& request, absl::string_view rest,
                  size_t size, bool reset) {
  return {
      (platform_scene::Head(request, 200) + std::string(rest)).substr(0, size),
      reset};
}

// Guards against a 200 with an empty or short body for a service that closes
// inside its answer, and against a posting that is sent again then.
TEST_F(cut_answer_path_test, APostingHasRunOnceAndIsNoSuccess) {
  constexpr absl::string_view kRest = "Content-Length: 4\r\n\r\ndone";
  size_t size = 0;
  bool reset = false;
  size_t whole_size = 0;
  scene_.OnService([&](QTcpSocket& socket, const raw_request& request) {
    whole_size = platform_scene::Head(request, 200).size() + kRest.size();
    WriteCut(socket, CutFor(request, kRest, size, reset));
  });
  int answered_failed = 0;
  for (size = 0; whole_size == 0 || size < whole_size; ++size) {
    for (const bool by_reset : {false, true}) {
      reset = by_reset;
      const size_t before = scene_.AtService().size();
      const test_answer answer = Ask("POST", "/post/1");
      const size_t sent = scene_.AtService().size() - before;
      EXPECT_LE(sent, 1u) << size << reset;
      // A service that fails is left alone for a while.
      EXPECT_EQ(answer.status, sent == 1 ? kBadGateway : kUnavailable)
          << size << reset << answer.error;
      if (answer.status == kBadGateway) ++answered_failed;
    }
  }
  EXPECT_GT(answered_failed, 0);
  RecordProperty("answered_failed", answered_failed);
}

// Guards against the same where an answer has no length and ends by a reset, on
// a request that may be repeated: another service is asked.
TEST_F(cut_answer_path_test, ASafeCallGetsItsAnswerElsewhere) {
  ASSERT_NO_FATAL_FAILURE(
      AddUpstream("l2", "ledger", scene_.ServiceAddress(), ""));
  constexpr absl::string_view kWhole = "Content-Length: 4\r\n\r\ndone";
  constexpr absl::string_view kRests[] = {
      kWhole, "\r\ndone",
      "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n"};
  int answered = 0;
  for (const absl::string_view rest : kRests) {
    for (size_t cut = 1; cut <= rest.size(); cut += 3) {
      bool first = true;
      scene_.OnService([&](QTcpSocket& socket, const raw_request& request) {
        const std::string head = platform_scene::Head(request, 200);
        if (!std::exchange(first, false)) {
          return Write(socket, absl::StrCat(head, kWhole));
        }
        WriteCut(socket,
                 CutFor(request, rest, head.size() + rest.size() - cut, true));
      });
      const test_answer answer = Ask("GET", "/read/1");
      EXPECT_TRUE(answer.status >= kBadGateway ||
                  (answer.status == 200 && answer.body == "done"))
          << answer.status << answer.body << rest << cut;
      if (answer.status == 200) ++answered;
    }
  }
  EXPECT_GT(answered, 0);
  RecordProperty("answered", answered);
}

// Guards against a posting that waits until its time limit behind an answer
// without a status, and against a caller who gets one.
TEST_F(cut_answer_path_test, AnAnswerWithoutAStatusFailsAtOnce) {
  constexpr absl::Duration kAtOnce = absl::Seconds(2);
  for (const std::string& line : MalformedStatusLines()) {
    scene_.OnService([&line](QTcpSocket& socket, const raw_request& request) {
      const std::string head = platform_scene::Head(request, 200);
      Write(socket, absl::StrCat(line, head.substr(head.find('\n') + 1),
                                 "Content-Length: 4\r\n\r\ndone"));
    });
    // A service that fails is left alone for a while.
    EXPECT_TRUE(Eventually(kBound, [&] {
      const absl::Time start = MonotonicNow();
      const test_answer answer = Ask("POST", "/post/1");
      EXPECT_LT(MonotonicNow() - start, kAtOnce) << line;
      EXPECT_TRUE(answer.status == kBadGateway || answer.status == kUnavailable)
          << line << answer.status;
      return answer.status == kBadGateway;
    })) << line;
  }
}

// Guards against the same on the way of a stream: its prefill or its decode is
// sent elsewhere at once.
TEST_F(cut_answer_path_test, AStreamLeavesAnEngineWithoutAStatusAtOnce) {
  constexpr absl::Duration kAtOnce = absl::Seconds(2);
  ASSERT_NO_FATAL_FAILURE(
      AddUpstream("p2", "model", scene_.PrefillAddress(), "prefill"));
  ASSERT_NO_FATAL_FAILURE(
      AddUpstream("d2", "model", scene_.DecodeAddress(), "decode"));
  const std::string malformed = "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n";
  bool fails_prefill = false;
  bool fails_decode = false;
  scene_.OnPrefill([&](QTcpSocket& socket, const raw_request& request) {
    if (std::exchange(fails_prefill, false)) return Write(socket, malformed);
    const std::string body = R"({"Handle":"h1","Tokens":100,"Version":1})";
    Write(socket,
          absl::StrCat(platform_scene::Head(request, 200),
                       "Content-Length: ", body.size(), "\r\n\r\n", body));
  });
  scene_.OnDecode([&](QTcpSocket& socket, const raw_request& request) {
    if (std::exchange(fails_decode, false)) return Write(socket, malformed);
    Write(socket, absl::StrCat(platform_scene::Head(request, 200),
                               "Transfer-Encoding: chunked\r\n\r\n"));
    platform_scene::Events(socket, 1, 3);
    Write(socket, "0\r\n\r\n");
  });
  for (bool* fails : {&fails_prefill, &fails_decode}) {
    *fails = true;
    const absl::Time start = MonotonicNow();
    const test_answer answer = Ask("POST", "/draft/1");
    EXPECT_LT(MonotonicNow() - start, kAtOnce);
    EXPECT_EQ(answer.status, 200) << answer.body;
    EXPECT_FALSE(*fails);
  }
}

// Answers each request as soon as its head has arrived, and then resets the
// connection while the body is still being sent. Serves one at a time, on a
// thread of its own.
class early_resetting_server {
 public:
  // @param body of each answer; it has no length.
  explicit early_resetting_server(std::string body) : body_(std::move(body)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    (void)::bind(listener_, reinterpret_cast<const sockaddr*>(&address), size);
    ::listen(listener_, 16);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    address_ = absl::StrCat("127.0.0.1:", ntohs(address.sin_port));
    thread_ = std::thread([this] { Serve(); });
  }
  ~early_resetting_server() {
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
  }
  early_resetting_server(const early_resetting_server&) = delete;
  early_resetting_server& operator=(const early_resetting_server&) = delete;

  std::string Address() const { return address_; }
  // Returns the number of requests that were answered.
  int Answered() const { return answered_; }

 private:
  void Serve() {
    for (;;) {
      const int caller = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (caller < 0) return;
      raw_request request;
      char byte = 0;
      while (!absl::EndsWith(request.head, "\r\n\r\n") &&
             ::recv(caller, &byte, 1, 0) == 1) {
        request.head += byte;
      }
      if (absl::StartsWith(request.head, "POST")) {
        const std::string answer =
            absl::StrCat(platform_scene::Head(request, 200), "\r\n", body_);
        (void)::send(caller, answer.data(), answer.size(), MSG_NOSIGNAL);
        // Some resets come before the answer is read, some behind it.
        std::this_thread::sleep_for(
            std::chrono::milliseconds(5 * (answered_ % 3)));
        ++answered_;
      }
      const linger at_once{.l_onoff = 1, .l_linger = 0};
      ::setsockopt(caller, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
      ::close(caller);
    }
  }

  const std::string body_;
  int listener_ = -1;
  std::string address_;
  std::atomic<int> answered_ = 0;
  std::thread thread_;
};

// Guards against a part of a stream, or an answer to its prefill, that counts
// as whole though its engine has reset the connection beside the upload.
TEST_F(cut_answer_path_test, AnEarlyAnswerThatIsResetIsNotWhole) {
  constexpr size_t kPromptBytes = 3 << 20;
  constexpr int kRequestsEach = 12;
  const early_resetting_server decode("id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n");
  const early_resetting_server prefill(
      R"({"Handle":"h1","Tokens":100,"Version":1})");
  const std::string prompt(kPromptBytes, 'x');
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    Write(socket, absl::StrCat(platform_scene::Head(request, 200),
                               "Transfer-Encoding: chunked\r\n\r\n"));
    platform_scene::Events(socket, 1, 3);
    Write(socket, "0\r\n\r\n");
  });
  ASSERT_NO_FATAL_FAILURE(
      AddUpstream("p1", "model", prefill.Address(), "prefill"));
  for (int i = 0; i < kRequestsEach; ++i) Ask("POST", "/draft/1", prompt);
  EXPECT_GT(prefill.Answered(), 0);
  for (const raw_request& request : scene_.AtDecode()) {
    EXPECT_EQ(platform_scene::Field(request, "kv-source"), "");
  }
  ASSERT_NO_FATAL_FAILURE(
      AddUpstream("d1", "model", decode.Address(), "decode"));
  for (int i = 0; i < kRequestsEach; ++i) {
    const test_answer answer = Ask("POST", "/draft/1", prompt);
    // 0 is a stream that broke off.
    EXPECT_TRUE(answer.status == 0 || answer.status >= kBadGateway)
        << answer.status << answer.body.substr(0, 200);
  }
  EXPECT_GT(decode.Answered(), 0);
}

// Guards against a stream with a hole, or one that is complete without its
// events, when its engine closes inside its head, before its body or inside it.
TEST_F(cut_answer_path_test, AStreamGoesOnElsewhereOrFails) {
  ASSERT_NO_FATAL_FAILURE(
      AddUpstream("d2", "model", scene_.DecodeAddress(), "decode"));
  constexpr absl::string_view kBody =
      "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n";
  const std::string chunked =
      absl::StrCat("Content-Type: text/event-stream\r\n",
                   "Transfer-Encoding: chunked\r\n\r\n",
                   absl::Hex(kBody.size()), "\r\n", kBody, "\r\n0\r\n");
  struct stream_cut {
    std::string rest;
    bool reset = false;
  };
  std::vector<stream_cut> cuts;
  // Without a length: the body never begins, begins with a comment, or is cut
  // inside an event.
  for (const char* body : {"", ": wait\n\n", "id: 1\ndata: t1\n\nid: 2\nda"}) {
    for (const bool reset : {false, true}) {
      cuts.push_back(
          {absl::StrCat("Content-Type: text/event-stream\r\n\r\n", body),
           reset});
    }
  }
  for (size_t size = 0; size <= chunked.size(); size += 2) {
    cuts.push_back({chunked.substr(0, size), size % 4 == 0});
  }
  int answered = 0;
  for (const stream_cut& cut : cuts) {
    bool first = true;
    scene_.OnDecode([&](QTcpSocket& socket, const raw_request& request) {
      const std::string head = platform_scene::Head(request, 200);
      if (std::exchange(first, false)) {
        return WriteCut(socket, {head + cut.rest, cut.reset});
      }
      const std::string after = platform_scene::Field(request, "last-event-id");
      Write(socket, absl::StrCat(head, "Content-Type: text/event-stream\r\n",
                                 "Transfer-Encoding: chunked\r\n\r\n"));
      platform_scene::Events(socket, after.empty() ? 1 : std::stoi(after) + 1,
                             3);
      Write(socket, "0\r\n\r\n");
    });
    const test_answer answer = Ask("POST", "/draft/1");
    const bool whole =
        answer.status == 200 && absl::EndsWith(answer.body, kBody) &&
        (answer.body == kBody || absl::StartsWith(answer.body, ": wait"));
    EXPECT_TRUE(whole || answer.status == 0 || answer.status >= kBadGateway)
        << answer.status << answer.body << testing::PrintToString(cut.rest);
    if (whole) ++answered;
    // Engines that only fail are left alone.
    for (int i = 0; i < 3; ++i) Ask("POST", "/draft/1");
  }
  EXPECT_GT(answered, static_cast<int>(cuts.size() / 2));
  RecordProperty("answered", answered);
}

}  // namespace
}  // namespace anvilridge
