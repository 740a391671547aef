// Engines of a fleet that fall silent and go on, over a real daemon process.
#include <QTimer>
#include <functional>
#include <ostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dispatch/daemon_count.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/platform_scene.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

// Within which a daemon on this machine must act.
constexpr absl::Duration kBound = absl::Seconds(10);
// Longer than a sound engine may be silent, and shorter than callers wait.
constexpr absl::Duration kSilence = absl::Milliseconds(2500);

// What an engine is about to send when it falls silent.
enum class silent_before { head, first_event, third_event };
// What a silent engine's stream finds at the other engine.
enum class other_engine { none, no_budget, refuses, unreachable, fails };

struct silence_case {
  std::string name;
  silent_before place;
  other_engine other;
};

void PrintTo(const silence_case& tried, std::ostream* out) {
  *out << tried.name;
}

class engine_silence_test : public testing::Test {
 protected:
  test_answer Draft() {
    test_request request;
    request.method = "POST";
    request.port = scene_.CallerPort();
    request.target = "/draft/1";
    request.headers = {{"Host", "a.example"},
                       {"Request-Id", "q1"},
                       {"Token-Count", "100,400"},
                       {"Deadline-Ms", "4800"}};
    request.body = "text";
    return Send(request);
  }

  void AddEngine(const std::string& id, const std::string& address,
                 const std::string& stage) {
    scene_.Put("keyed.servers", id,
               absl::StrCat(R"({"Service":"model","Addr":")", address,
                            R"(","Zone":"z","Slots":4,"State":"ready",)",
                            R"("Stage":")", stage, R"(","Seq":0})"));
    ASSERT_TRUE(Eventually(kBound, [&] { return Logged(id); }));
    // A daemon has no extra sends at its start.
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(kCountSettleTime) +
                                std::chrono::milliseconds(500));
  }

  bool Logged(const std::string& text) {
    return scene_.Daemon().Out().find(absl::StrCat("\"", text, "\"")) !=
           std::string::npos;
  }

  platform_scene scene_;
};

class silent_stream_test : public engine_silence_test,
                           public testing::WithParamInterface<silence_case> {};

constexpr char kNoBudget[] = "ratio = 0\nslack = 0";
constexpr char kSomeBudget[] = "slack = 50";
constexpr char kWholeStream[] =
    "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n";

void Write(QTcpSocket& socket, const std::string& text) {
  socket.write(text.data(), static_cast<qint64>(text.size()));
}

void After(absl::Duration delay, QTcpSocket& socket,
           std::function<void(QTcpSocket&)> task) {
  QTcpSocket* to = &socket;
  QTimer::singleShot(absl::ToChronoMilliseconds(delay), to,
                     [to, task = std::move(task)] { task(*to); });
}

// Streams three events, and is silent before one of its parts.
void StreamWithSilence(QTcpSocket& socket, const raw_request& request,
                       silent_before place) {
  const std::string head =
      platform_scene::Head(request, 200) + "Transfer-Encoding: chunked\r\n\r\n";
  const auto end = [](QTcpSocket& to, int from) {
    platform_scene::Events(to, from, 3);
    Write(to, "0\r\n\r\n");
  };
  if (place == silent_before::head) {
    return After(kSilence, socket, [head, end](QTcpSocket& to) {
      Write(to, head);
      end(to, 1);
    });
  }
  Write(socket, head);
  const int sent = place == silent_before::first_event ? 0 : 2;
  platform_scene::Events(socket, 1, sent);
  After(kSilence, socket, [end, sent](QTcpSocket& to) { end(to, sent + 1); });
}

// Guards against a stream that is ended because its engine was silent, although
// no other engine could go on with it.
TEST_P(silent_stream_test, ASilentEngineKeepsItsStream) {
  const silence_case& tried = GetParam();
  ASSERT_TRUE(scene_.Start(
      tried.other == other_engine::no_budget ? kNoBudget : kSomeBudget));
  scene_.OnDecode([first = true, tried](QTcpSocket& socket,
                                        const raw_request& request) mutable {
    if (std::exchange(first, false)) {
      return StreamWithSilence(socket, request, tried.place);
    }
    if (tried.other == other_engine::fails) return raw_server::Reset(socket);
    Write(socket, platform_scene::Head(request, 503) +
                      "Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  if (tried.other != other_engine::none) {
    const std::string address = tried.other == other_engine::unreachable
                                    ? "127.0.0.1:1"
                                    : scene_.DecodeAddress();
    ASSERT_NO_FATAL_FAILURE(AddEngine("d2", address, "decode"));
  }
  const test_answer answer = Draft();
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, kWholeStream);
  EXPECT_FALSE(Logged("request_unfinished"));
}

std::vector<silence_case> AllCases() {
  std::vector<silence_case> cases;
  for (const auto& [place_name, place] :
       {std::pair("Head", silent_before::head),
        std::pair("FirstEvent", silent_before::first_event),
        std::pair("ThirdEvent", silent_before::third_event)}) {
    for (const auto& [other_name, other] :
         {std::pair("WithoutOther", other_engine::none),
          std::pair("WithoutBudget", other_engine::no_budget),
          std::pair("OtherRefuses", other_engine::refuses),
          std::pair("OtherUnreachable", other_engine::unreachable),
          std::pair("OtherFails", other_engine::fails)}) {
      cases.push_back(
          {absl::StrCat("Before", place_name, other_name), place, other});
    }
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(silences, silent_stream_test,
                         testing::ValuesIn(AllCases()),
                         [](const auto& test) { return test.param.name; });

// A dead engine is silent as well, so the stream goes on elsewhere in time.
TEST_F(engine_silence_test, AStreamGoesOnBehindAnEngineThatStaysSilent) {
  ASSERT_TRUE(scene_.Start());
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    Write(socket, platform_scene::Head(request, 200) +
                      "Transfer-Encoding: chunked\r\n\r\n");
    if (platform_scene::Field(request, "last-event-id").empty()) {
      return platform_scene::Events(socket, 1, 2);
    }
    platform_scene::Events(socket, 3, 3);
    Write(socket, "0\r\n\r\n");
  });
  ASSERT_NO_FATAL_FAILURE(AddEngine("d2", scene_.DecodeAddress(), "decode"));
  EXPECT_EQ(Draft().body, kWholeStream);
  EXPECT_EQ(scene_.AtDecode().size(), 2u);
}

// Guards against a request that is ended or sent elsewhere without budget
// because its prefill engine was silent.
TEST_F(engine_silence_test, ASilentPrefillIsWaitedForWithoutBudget) {
  ASSERT_TRUE(scene_.Start(kNoBudget));
  scene_.OnPrefill([](QTcpSocket& socket, const raw_request& request) {
    const std::string body = R"({"Handle":"h1","Tokens":100})";
    const std::string answer =
        absl::StrCat(platform_scene::Head(request, 200),
                     "Content-Length: ", body.size(), "\r\n\r\n", body);
    After(kSilence, socket, [answer](QTcpSocket& to) { Write(to, answer); });
  });
  EXPECT_EQ(Draft().body, kWholeStream);
  EXPECT_EQ(scene_.AtPrefill().size(), 1u);
  ASSERT_EQ(scene_.AtDecode().size(), 1u);
  EXPECT_FALSE(
      platform_scene::Field(scene_.AtDecode()[0], "kv-source").empty());
}

}  // namespace
}  // namespace anvilridge
