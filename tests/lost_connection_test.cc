// Connections to sound engines are reset, and answers lost, over a real daemon
// process: an engine that has only lost a connection keeps the prompt.
#include <QTcpSocket>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dispatch/daemon_count.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/platform_scene.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(10);
constexpr char kWholeStream[] =
    "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n";

void Write(QTcpSocket& socket, const std::string& text) {
  socket.write(text.data(), static_cast<qint64>(text.size()));
}

std::string Addressee(const raw_request& request) {
  return platform_scene::Field(request, "expect-instance");
}

// Reports on the engine's state, as checks ask for.
bool IsCheck(const raw_request& request) {
  return request.target == "/api/report";
}

void AnswerCheck(QTcpSocket& socket, const raw_request& request, int status) {
  const std::string body = R"({"Busy":false,"Seq":0})";
  Write(socket,
        absl::StrCat(platform_scene::Head(request, status),
                     "Content-Length: ", body.size(), "\r\n\r\n", body));
}

void BeginStream(QTcpSocket& socket, const raw_request& request) {
  Write(socket, platform_scene::Head(request, 200) +
                    "Transfer-Encoding: chunked\r\n\r\n");
}

std::vector<raw_request> WithoutChecks(std::vector<raw_request> requests) {
  std::erase_if(requests, IsCheck);
  return requests;
}

// Two decode engines.
class lost_connection_test : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(scene_.Start());
    scene_.Put(
        "keyed.servers", "d2",
        absl::StrCat(R"({"Service":"model","Addr":")", scene_.DecodeAddress(),
                     R"(","Zone":"z","Slots":4,"State":"ready",)",
                     R"("Stage":"decode","Seq":0})"));
    ASSERT_TRUE(Eventually(kBound, [&] {
      return scene_.Daemon().Out().find(R"("upstream":"d2")") !=
             std::string::npos;
    }));
    // A daemon has no extra sends at its start.
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(kCountSettleTime) +
                                std::chrono::milliseconds(500));
  }

  // Lets the decode engines reset their first `count` streams behind `events`
  // events, and answer checks with `check_status`.
  void LoseStreams(int count, int events, int check_status) {
    scene_.OnDecode([=, left = count](QTcpSocket& socket,
                                      const raw_request& request) mutable {
      if (IsCheck(request)) return AnswerCheck(socket, request, check_status);
      BeginStream(socket, request);
      if (left > 0) {
        --left;
        platform_scene::Events(socket, 1, events);
        return raw_server::Reset(socket);
      }
      platform_scene::Events(socket, events + 1, 3);
      socket.write("0\r\n\r\n");
    });
  }

  test_answer Draft() {
    test_request request;
    request.method = "POST";
    request.port = scene_.CallerPort();
    request.target = "/draft/1";
    request.headers = {{"Host", "a.example"},
                       {"Request-Id", "q1"},
                       {"Token-Count", "100,400"},
                       {"Prompt-Prefix", "a1:60,b2:40"},
                       {"Deadline-Ms", "4000"}};
    request.body = "draft";
    return Send(request);
  }

  platform_scene scene_;
};

class lost_stream_test : public lost_connection_test,
                         public testing::WithParamInterface<int> {};

// Guards against a prompt that is prefilled once more elsewhere.
TEST_P(lost_stream_test, GoesOnAtTheEngineThatKeepsThePrompt) {
  LoseStreams(1, GetParam(), 200);
  const test_answer answer = Draft();
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, kWholeStream);
  const auto decodes = WithoutChecks(scene_.AtDecode());
  ASSERT_EQ(decodes.size(), 2u);
  EXPECT_EQ(Addressee(decodes[0]), Addressee(decodes[1]));
}

// Guards against a send to an engine that has lost the prompt: another instance
// answers at its address.
TEST_P(lost_stream_test, GoesOnElsewhereIfTheEngineCrashed) {
  LoseStreams(1, GetParam(), 421);
  const test_answer answer = Draft();
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, kWholeStream);
  const auto decodes = WithoutChecks(scene_.AtDecode());
  ASSERT_EQ(decodes.size(), 2u);
  EXPECT_NE(Addressee(decodes[0]), Addressee(decodes[1]));
}

INSTANTIATE_TEST_SUITE_P(events, lost_stream_test, testing::Values(0, 2));

// Guards against a cache that expires unused after a connection was reset
// before the decode engine began: it may not have fetched the cache.
TEST_F(lost_connection_test, TheCacheIsNamedAgainToTheSameEngine) {
  LoseStreams(1, 0, 200);
  EXPECT_EQ(Draft().body, kWholeStream);
  const auto decodes = WithoutChecks(scene_.AtDecode());
  ASSERT_EQ(decodes.size(), 2u);
  EXPECT_NE(platform_scene::Field(decodes[0], "kv-source"), "");
  EXPECT_EQ(platform_scene::Field(decodes[0], "kv-source"),
            platform_scene::Field(decodes[1], "kv-source"));
  EXPECT_EQ(scene_.AtPrefill().size(), 1u);
}

// Guards against a cache that is named where it is gone: an engine that sent
// events has fetched it.
TEST_F(lost_connection_test, AFetchedCacheIsNotNamedAgain) {
  LoseStreams(1, 2, 200);
  EXPECT_EQ(Draft().body, kWholeStream);
  const auto decodes = WithoutChecks(scene_.AtDecode());
  ASSERT_EQ(decodes.size(), 2u);
  EXPECT_EQ(platform_scene::Field(decodes[1], "kv-source"), "");
}

// Guards against attempts that are used up by one engine: the route allows two
// engines. One whose connections break again is given up.
TEST_F(lost_connection_test, AnEngineIsReturnedToOnce) {
  LoseStreams(2, 0, 200);
  EXPECT_EQ(Draft().body, kWholeStream);
  const auto decodes = WithoutChecks(scene_.AtDecode());
  ASSERT_EQ(decodes.size(), 3u);
  EXPECT_EQ(Addressee(decodes[0]), Addressee(decodes[1]));
  EXPECT_NE(Addressee(decodes[0]), Addressee(decodes[2]));
}

// Guards against a stream that is given up because its engine, which had
// fetched the cache, refuses to fetch it again.
TEST_F(lost_connection_test, AStreamGoesOnElsewhereIfTheCacheWasFetched) {
  scene_.OnDecode(
      [sends = 0](QTcpSocket& socket, const raw_request& request) mutable {
        if (IsCheck(request)) return AnswerCheck(socket, request, 200);
        switch (++sends) {
          case 1:
            return raw_server::Reset(socket);
          case 2:
            return Write(
                socket,
                absl::StrCat("HTTP/1.1 503 Gone\r\nNot-Run: 1\r\nRequest-Id: ",
                             platform_scene::Field(request, "request-id"),
                             "\r\nContent-Length: 0\r\n\r\n"));
          default:
            BeginStream(socket, request);
            platform_scene::Events(socket, 1, 3);
            socket.write("0\r\n\r\n");
        }
      });
  EXPECT_EQ(Draft().body, kWholeStream);
  const auto decodes = WithoutChecks(scene_.AtDecode());
  ASSERT_EQ(decodes.size(), 3u);
  EXPECT_NE(Addressee(decodes[1]), Addressee(decodes[2]));
  EXPECT_EQ(platform_scene::Field(decodes[2], "kv-source"), "");
}

}  // namespace
}  // namespace anvilridge
