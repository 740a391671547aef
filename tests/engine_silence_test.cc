// Engines of a fleet that fall silent and go on, over a real daemon process.
#include <QTimer>
#include <atomic>
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
enum class other_engine {
  none,
  no_budget,
  refuses,
  unreachable,
  fails,
  // Accepts and then breaks off before its first event.
  breaks_off,
  // Answers with an error whose end comes late.
  errs_slowly,
};

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
  test_answer Draft() { return Draft(scene_); }
  static test_answer Draft(const platform_scene& scene) {
    test_request request;
    request.method = "POST";
    request.port = scene.CallerPort();
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
    AddEngine(scene_, id, address, stage);
  }
  static void AddEngine(platform_scene& scene, const std::string& id,
                        const std::string& address, const std::string& stage) {
    scene.Put("keyed.servers", id,
              absl::StrCat(R"({"Service":"model","Addr":")", address,
                           R"(","Zone":"z","Slots":4,"State":"ready",)",
                           R"("Stage":")", stage, R"(","Seq":0})"));
    ASSERT_TRUE(Eventually(kBound, [&] { return Logged(scene, id); }));
    WaitForBudget();
  }

  // A daemon has no extra sends at its start.
  static void WaitForBudget() {
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(kCountSettleTime) +
                                std::chrono::milliseconds(500));
  }

  bool Logged(const std::string& text) { return Logged(scene_, text); }
  static bool Logged(platform_scene& scene, const std::string& text) {
    return scene.Daemon().Out().find(absl::StrCat("\"", text, "\"")) !=
           std::string::npos;
  }

  platform_scene scene_;
};

class silent_stream_test : public engine_silence_test,
                           public testing::WithParamInterface<silence_case> {};

constexpr char kNoBudget[] = "ratio = 0\nslack = 0";
// Earned within a second or two.
constexpr char kSomeBudget[] = "slack = 50\nwindow = 1s";
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

std::string PrefillAnswer(const raw_request& request) {
  const std::string body = R"({"Handle":"h1","Tokens":100})";
  return absl::StrCat(platform_scene::Head(request, 200),
                      "Content-Length: ", body.size(), "\r\n\r\n", body);
}

void StreamAtOnce(QTcpSocket& socket, const raw_request& request) {
  Write(socket, platform_scene::Head(request, 200) +
                    "Transfer-Encoding: chunked\r\n\r\n");
  platform_scene::Events(socket, 1, 3);
  Write(socket, "0\r\n\r\n");
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
    if (tried.other == other_engine::breaks_off) {
      Write(socket, platform_scene::Head(request, 200) +
                        "Transfer-Encoding: chunked\r\n\r\n");
      return After(absl::Milliseconds(100), socket, raw_server::Reset);
    }
    if (tried.other == other_engine::errs_slowly) {
      Write(socket, platform_scene::Head(request, 500) +
                        "Content-Length: 20\r\n\r\n0123456789");
      return After(kSilence, socket,
                   [](QTcpSocket& to) { Write(to, "0123456789"); });
    }
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
  if (tried.other == other_engine::refuses ||
      tried.other == other_engine::fails ||
      tried.other == other_engine::breaks_off ||
      tried.other == other_engine::errs_slowly) {
    EXPECT_EQ(scene_.AtDecode().size(), 2u);
  }
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
          std::pair("OtherFails", other_engine::fails),
          std::pair("OtherBreaksOff", other_engine::breaks_off),
          std::pair("OtherErrsSlowly", other_engine::errs_slowly)}) {
      cases.push_back(
          {absl::StrCat("Before", place_name, other_name), place, other});
    }
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(silences, silent_stream_test,
                         testing::ValuesIn(AllCases()),
                         [](const auto& test) { return test.param.name; });

// A dead engine is silent as well, so the stream goes on elsewhere in time,
// once and with the marks of the engine that sends it.
TEST_F(engine_silence_test, AStreamGoesOnBehindAnEngineThatStaysSilent) {
  for (const int sent : {-1, 0, 2}) {
    platform_scene scene;
    ASSERT_TRUE(scene.Start(kSomeBudget));
    std::atomic<bool> closed = false;
    scene.OnDecode([first = true, sent, &closed](
                       QTcpSocket& socket, const raw_request& request) mutable {
      const bool silent = std::exchange(first, false);
      if (silent) {
        QObject::connect(&socket, &QTcpSocket::disconnected,
                         [&closed] { closed = true; });
        if (sent < 0) return;
      }
      Write(socket, platform_scene::Head(request, 200) +
                        (silent ? "X-Engine: 1\r\n" : "X-Engine: 2\r\n") +
                        "Transfer-Encoding: chunked\r\n\r\n");
      if (silent) return platform_scene::Events(socket, 1, sent);
      const std::string last = platform_scene::Field(request, "last-event-id");
      platform_scene::Events(socket, last.empty() ? 1 : std::stoi(last) + 1, 3);
      Write(socket, "0\r\n\r\n");
    });
    ASSERT_NO_FATAL_FAILURE(
        AddEngine(scene, "d2", scene.DecodeAddress(), "decode"));
    const test_answer answer = Draft(scene);
    EXPECT_EQ(answer.body, kWholeStream);
    EXPECT_EQ(answer.Header("x-engine"), sent > 0 ? "1" : "2");
    EXPECT_EQ(scene.AtDecode().size(), 2u);
    EXPECT_TRUE(Eventually(kBound, [&] { return closed.load(); }));
  }
}

// Guards against events that come twice or an engine that works on for nobody
// when a silent engine goes on while another one has been asked.
TEST_F(engine_silence_test, AnEngineThatWasAskedIsStoppedWhenTheSilentGoesOn) {
  ASSERT_TRUE(scene_.Start(kSomeBudget));
  std::atomic<bool> closed = false;
  scene_.OnDecode([first = true, &closed](QTcpSocket& socket,
                                          const raw_request& request) mutable {
    if (std::exchange(first, false)) {
      return StreamWithSilence(socket, request, silent_before::third_event);
    }
    // Still prefilling when the silent one goes on.
    QObject::connect(&socket, &QTcpSocket::disconnected,
                     [&closed] { closed = true; });
  });
  ASSERT_NO_FATAL_FAILURE(AddEngine("d2", scene_.DecodeAddress(), "decode"));
  EXPECT_EQ(Draft().body, kWholeStream);
  EXPECT_EQ(scene_.AtDecode().size(), 2u);
  EXPECT_TRUE(Eventually(kBound, [&] { return closed.load(); }));
}

// Guards against a stream that is answered as if it may have run although both
// engines have rejected it.
TEST_F(engine_silence_test, ARejectionBySilentAndOtherEngineIsTold) {
  ASSERT_TRUE(scene_.Start(kSomeBudget));
  scene_.OnDecode([first = true](QTcpSocket& socket,
                                 const raw_request& request) mutable {
    const std::string refusal = platform_scene::Head(request, 503) +
                                "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    if (!std::exchange(first, false)) return Write(socket, refusal);
    After(kSilence, socket, [refusal](QTcpSocket& to) { Write(to, refusal); });
  });
  ASSERT_NO_FATAL_FAILURE(AddEngine("d2", scene_.DecodeAddress(), "decode"));
  EXPECT_EQ(Draft().status, 503);
  EXPECT_EQ(scene_.AtDecode().size(), 2u);
}

// Guards against a request that is refused because its prefill engine was
// silent and another one rejects the prompt.
TEST_F(engine_silence_test, ASilentPrefillIsWaitedForWhenTheOtherFails) {
  for (const other_engine other :
       {other_engine::refuses, other_engine::fails}) {
    platform_scene scene;
    ASSERT_TRUE(scene.Start(kSomeBudget));
    scene.OnPrefill([first = true, other](QTcpSocket& socket,
                                          const raw_request& request) mutable {
      if (std::exchange(first, false)) {
        return After(kSilence, socket, [request](QTcpSocket& to) {
          Write(to, PrefillAnswer(request));
        });
      }
      if (other == other_engine::fails) return raw_server::Reset(socket);
      Write(socket, platform_scene::Head(request, 503) +
                        "Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    });
    ASSERT_NO_FATAL_FAILURE(
        AddEngine(scene, "p2", scene.PrefillAddress(), "prefill"));
    EXPECT_EQ(Draft(scene).body, kWholeStream);
    EXPECT_EQ(scene.AtPrefill().size(), 2u);
  }
}

// Guards against a request that is refused because its prefill engine was
// silent and a decode engine rejects the prompt.
TEST_F(engine_silence_test, ASilentPrefillIsWaitedForWhenADecodeIsRefused) {
  ASSERT_TRUE(scene_.Start(kSomeBudget));
  scene_.OnPrefill([](QTcpSocket& socket, const raw_request& request) {
    After(kSilence, socket,
          [request](QTcpSocket& to) { Write(to, PrefillAnswer(request)); });
  });
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    if (platform_scene::Field(request, "kv-source").empty()) {
      return Write(socket, platform_scene::Head(request, 503) +
                               "Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    }
    StreamAtOnce(socket, request);
  });
  ASSERT_NO_FATAL_FAILURE(WaitForBudget());
  EXPECT_EQ(Draft().body, kWholeStream);
  EXPECT_EQ(scene_.AtDecode().size(), 2u);
}

// Guards against a request that is ended or sent elsewhere without budget
// because its prefill engine was silent.
TEST_F(engine_silence_test, ASilentPrefillIsWaitedForWithoutBudget) {
  ASSERT_TRUE(scene_.Start(kNoBudget));
  scene_.OnPrefill([](QTcpSocket& socket, const raw_request& request) {
    After(kSilence, socket,
          [request](QTcpSocket& to) { Write(to, PrefillAnswer(request)); });
  });
  EXPECT_EQ(Draft().body, kWholeStream);
  EXPECT_EQ(scene_.AtPrefill().size(), 1u);
  ASSERT_EQ(scene_.AtDecode().size(), 1u);
  EXPECT_FALSE(
      platform_scene::Field(scene_.AtDecode()[0], "kv-source").empty());
}

}  // namespace
}  // namespace anvilridge
