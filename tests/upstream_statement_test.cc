// What an upstream states about itself in its responses, over a real daemon
// process.
#include <QTimer>
#include <algorithm>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/time/clock.h"
#include "dispatch/daemon_count.h"
#include "dispatch/stream_limits.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/platform_scene.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(10);

constexpr char kLeaving[] = "Server-Leaving: 1\r\n";
constexpr char kBusy[] = "Not-Run: 1\r\nRetry-After: 1.5\r\n";

void Write(QTcpSocket& socket, const std::string& text) {
  socket.write(text.data(), static_cast<qint64>(text.size()));
}

// Answers with `status`, the head's further `fields` and a short body.
void Answer(QTcpSocket& socket, const raw_request& request, int status,
            const std::string& fields = "", const std::string& body = "done") {
  Write(socket,
        absl::StrCat(platform_scene::Head(request, status), fields,
                     "Content-Length: ", body.size(), "\r\n\r\n", body));
}

std::string Addressee(const raw_request& request) {
  return platform_scene::Field(request, "expect-instance");
}

void AnswerPrefill(QTcpSocket& socket, const raw_request& request,
                   const std::string& fields = "") {
  Answer(socket, request, 200, fields,
         request.method == "DELETE" ? "{}" : R"({"Handle":"h1","Tokens":100})");
}

void BeginStream(QTcpSocket& socket, const raw_request& request,
                 const std::string& fields = "") {
  Write(socket, absl::StrCat(platform_scene::Head(request, 200), fields,
                             "Transfer-Encoding: chunked\r\n\r\n"));
}

void EndStream(QTcpSocket& socket) {
  platform_scene::Events(socket, 1, 3);
  socket.write("0\r\n\r\n");
}

class upstream_statement_test : public testing::Test {
 protected:
  // The short window earns extra sends quickly.
  void SetUp() override {
    ASSERT_TRUE(scene_.Start("slack = 50\nwindow = 1s"));
  }

  test_answer Ask(const std::string& method, const std::string& target,
                  const std::string& id = "q1",
                  const test_headers& headers = {}) {
    test_request request;
    request.method = method;
    request.port = scene_.CallerPort();
    request.target = target;
    request.headers = {{"Host", "a.example"}, {"Request-Id", id}};
    for (const auto& header : headers) request.headers.push_back(header);
    if (method == "POST") request.body = "fee";
    return Send(request);
  }
  test_answer Post(const std::string& id = "q1") {
    return Ask("POST", "/post/1", id);
  }
  test_answer Draft(const std::string& id = "q1") {
    return Ask("POST", "/draft/1", id,
               {{"Token-Count", "100,400"}, {"Deadline-Ms", "4000"}});
  }

  // Returns an entry of an upstream; one without a `state` removes it. An empty
  // `stage` is that of the plain service.
  std::string Entry(const std::string& stage, const std::string& state,
                    int64_t started_ms = 0) {
    if (state.empty()) return "";
    const std::string address = stage.empty()        ? scene_.ServiceAddress()
                                : stage == "prefill" ? scene_.PrefillAddress()
                                                     : scene_.DecodeAddress();
    return absl::StrCat(
        R"({"Service":")", stage.empty() ? "ledger" : "model", R"(","Addr":")",
        address, R"(","Zone":"z","Slots":4,"State":")", state, R"(","Stage":")",
        stage, R"(","born":)", started_ms, R"(,"Seq":0})");
  }

  // Registers an upstream.
  void Register(const std::string& id, const std::string& stage,
                int64_t started_ms = 0) {
    scene_.Put("keyed.servers", id, Entry(stage, "ready", started_ms));
    ASSERT_TRUE(Eventually(kBound, [&] {
      return absl::StrContains(scene_.Daemon().Out(),
                               absl::StrCat(R"("upstream":")", id, "\""));
    }));
    absl::SleepFor(absl::Milliseconds(200));
  }
  // Extra sends need a settled number of daemons.
  static void WaitForBudget() {
    absl::SleepFor(kCountSettleTime + absl::Milliseconds(500));
  }

  // Requests by the id of the upstream that they were addressed to.
  static std::map<std::string, int> ByAddressee(
      const std::vector<raw_request>& requests) {
    std::map<std::string, int> counts;
    for (const raw_request& request : requests) ++counts[Addressee(request)];
    return counts;
  }

  size_t LogCount(const std::string& event) {
    size_t count = 0;
    const std::string log = scene_.Daemon().Out();
    const std::string text = absl::StrCat(R"("event":")", event, "\"");
    for (size_t at = log.find(text); at != std::string::npos;
         at = log.find(text, at + 1)) {
      ++count;
    }
    return count;
  }

  platform_scene scene_;
};

// Guards against calls to an instance that has said that it leaves, with any
// response: successes, failures, refusals, and responses that break off.
class leaving_response_test : public upstream_statement_test,
                              public testing::WithParamInterface<int> {};

TEST_P(leaving_response_test, NoFurtherCallReachesTheInstance) {
  const int kind = GetParam();
  scene_.OnService([kind](QTcpSocket& socket, const raw_request& request) {
    if (kind != 0) return Answer(socket, request, kind, kLeaving);
    Write(socket, absl::StrCat(platform_scene::Head(request, 200), kLeaving,
                               "Content-Length: 100\r\n\r\nhalf"));
    raw_server::Reset(socket);
  });
  Post();
  ASSERT_EQ(scene_.AtService().size(), 1u);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(Post().status, 503);
  EXPECT_EQ(scene_.AtService().size(), 1u);
  EXPECT_EQ(LogCount("upstream_leaving"), 1u);
}

INSTANTIATE_TEST_SUITE_P(statuses, leaving_response_test,
                         testing::Values(0, 200, 404, 500, 503));

// Guards against a lasting absence of an upstream that has been restarted.
TEST_F(upstream_statement_test, ANewInstanceUnderTheIdIsUsedAgain) {
  scene_.OnService([](QTcpSocket& socket, const raw_request& request) {
    Answer(socket, request, 200, kLeaving);
  });
  EXPECT_EQ(Post().status, 200);
  EXPECT_EQ(Post().status, 503);
  scene_.OnService([](QTcpSocket& socket, const raw_request& request) {
    Answer(socket, request, 200);
  });
  Register("l1", "", 1000);
  EXPECT_TRUE(Eventually(kBound, [&] { return Post().status == 200; }));
}

// Guards against prefills and decodes for engines that have said that they
// leave; what runs there goes on.
TEST_F(upstream_statement_test, ALeavingEngineFinishesItsStreamsOnly) {
  Register("p2", "prefill");
  Register("d2", "decode");
  // Those that were addressed first leave.
  scene_.OnPrefill([first = std::string()](QTcpSocket& socket,
                                           const raw_request& request) mutable {
    if (first.empty()) first = Addressee(request);
    AnswerPrefill(socket, request, Addressee(request) == first ? kLeaving : "");
  });
  scene_.OnDecode([first = std::string()](QTcpSocket& socket,
                                          const raw_request& request) mutable {
    if (first.empty()) first = Addressee(request);
    const bool leaves = Addressee(request) == first;
    BeginStream(socket, request, leaves ? kLeaving : "");
    platform_scene::Events(socket, 1, 1);
    QTimer::singleShot(leaves ? 600 : 0, &socket, [&socket] {
      platform_scene::Events(socket, 2, 3);
      socket.write("0\r\n\r\n");
    });
  });
  auto running =
      std::async(std::launch::async, [this] { return Draft("first"); });
  ASSERT_TRUE(Eventually(kBound, [&] { return !scene_.AtDecode().empty(); }));
  absl::SleepFor(absl::Milliseconds(100));
  for (int i = 0; i < 6; ++i) EXPECT_EQ(Draft().status, 200);
  EXPECT_EQ(running.get().status, 200);
  const auto decodes = ByAddressee(scene_.AtDecode());
  EXPECT_EQ(decodes.at(Addressee(scene_.AtDecode()[0])), 1);
  EXPECT_EQ(decodes.size(), 2u);
  const auto prefills = ByAddressee(scene_.AtPrefill());
  EXPECT_EQ(prefills.at(Addressee(scene_.AtPrefill()[0])), 1);
}

// Guards against a decode at a leaving engine that was reserved before it said
// so, while the prompt was prefilled elsewhere.
TEST_F(upstream_statement_test, AReservedEngineThatLeavesIsReplaced) {
  scene_.OnPrefill([](QTcpSocket& socket, const raw_request& request) {
    const bool slow =
        platform_scene::Field(request, "request-id") == "reserved";
    QTimer::singleShot(slow ? 900 : 0, &socket,
                       [&socket, request] { AnswerPrefill(socket, request); });
  });
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    BeginStream(socket, request, Addressee(request) == "d1" ? kLeaving : "");
    EndStream(socket);
  });
  auto reserved =
      std::async(std::launch::async, [this] { return Draft("reserved"); });
  ASSERT_TRUE(Eventually(kBound, [&] { return !scene_.AtPrefill().empty(); }));
  EXPECT_EQ(Draft("other").status, 200);
  Register("d2", "decode");
  EXPECT_EQ(reserved.get().status, 200);
  ASSERT_EQ(scene_.AtDecode().size(), 2u);
  EXPECT_EQ(Addressee(scene_.AtDecode()[1]), "d2");
  // The prompt isn't prefilled again.
  EXPECT_EQ(scene_.AtPrefill().size(), 2u);
  EXPECT_FALSE(
      platform_scene::Field(scene_.AtDecode()[1], "kv-source").empty());
}

// Guards against a decode at an engine whose entry has said that it drains, or
// was removed, since the engine was reserved.
class changed_entry_test : public upstream_statement_test,
                           public testing::WithParamInterface<std::string> {};

TEST_P(changed_entry_test, AReservedEngineIsReplaced) {
  // Longer than a change of an entry takes, and well below the silence after
  // which a decode engine is asked beside the prefill.
  static const absl::Duration kPrefillTime = kLongestSoundSilence * 0.6;
  scene_.OnPrefill([](QTcpSocket& socket, const raw_request& request) {
    QTimer::singleShot(absl::ToChronoMilliseconds(kPrefillTime),
                       Qt::PreciseTimer, &socket,
                       [&socket, request] { AnswerPrefill(socket, request); });
  });
  auto draft = std::async(std::launch::async, [this] { return Draft(); });
  ASSERT_TRUE(Eventually(kBound, [&] { return !scene_.AtPrefill().empty(); }));
  Register("d2", "decode");
  scene_.Put("keyed.servers", "d1", Entry("decode", GetParam()));
  EXPECT_EQ(draft.get().status, 200);
  ASSERT_EQ(scene_.AtDecode().size(), 1u);
  EXPECT_EQ(Addressee(scene_.AtDecode()[0]), "d2");
  // The prompt isn't prefilled again.
  EXPECT_EQ(scene_.AtPrefill().size(), 1u);
  EXPECT_FALSE(
      platform_scene::Field(scene_.AtDecode()[0], "kv-source").empty());
}

INSTANTIATE_TEST_SUITE_P(states, changed_entry_test,
                         testing::Values("draining", ""));

// Guards against a resumed run at an engine that leaves.
TEST_F(upstream_statement_test, ABrokenStreamIsNotResumedAtALeavingEngine) {
  Register("d2", "decode");
  WaitForBudget();
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    const bool breaks =
        platform_scene::Field(request, "request-id") == "breaks";
    if (!breaks) {
      BeginStream(socket, request, kLeaving);
      return EndStream(socket);
    }
    BeginStream(socket, request);
    platform_scene::Events(socket, 1, 2);
    raw_server::Reset(socket);
  });
  EXPECT_EQ(Draft("leaves").status, 200);
  Draft("breaks");
  ASSERT_EQ(scene_.AtDecode().size(), 2u);
  EXPECT_NE(Addressee(scene_.AtDecode()[0]), Addressee(scene_.AtDecode()[1]));
}

// Guards against a hedged call to an upstream that leaves.
TEST_F(upstream_statement_test, ASlowCallIsNotHedgedAtALeavingUpstream) {
  Register("l2", "");
  WaitForBudget();
  scene_.OnService([](QTcpSocket& socket, const raw_request& request) {
    if (platform_scene::Field(request, "request-id") == "leaves") {
      return Answer(socket, request, 200, kLeaving);
    }
    QTimer::singleShot(700, &socket,
                       [&socket, request] { Answer(socket, request, 200); });
  });
  EXPECT_EQ(Ask("GET", "/read/1", "leaves").status, 200);
  const size_t before = scene_.AtService().size();
  EXPECT_EQ(Ask("GET", "/read/1", "slow").status, 200);
  EXPECT_EQ(scene_.AtService().size(), before + 1);
}

// Guards against calls within the pause that an upstream has named: the
// router's own pause after a refusal is far shorter.
TEST_F(upstream_statement_test, ANamedPauseIsKeptAndTold) {
  scene_.OnService([](QTcpSocket& socket, const raw_request& request) {
    Answer(socket, request, 503, kBusy);
  });
  EXPECT_EQ(Post().status, 503);
  const absl::Time begin = absl::Now();
  scene_.OnService([](QTcpSocket& socket, const raw_request& request) {
    Answer(socket, request, 200);
  });
  const test_answer refused = Post();
  EXPECT_EQ(refused.status, 503);
  double retry_after = 0;
  ASSERT_TRUE(absl::SimpleAtod(refused.Header("retry-after"), &retry_after));
  EXPECT_GT(retry_after, 1.0);
  EXPECT_LT(retry_after, 1.7);
  while (absl::Now() < begin + absl::Milliseconds(1200)) {
    EXPECT_EQ(Post().status, 503);
    absl::SleepFor(absl::Milliseconds(50));
  }
  EXPECT_EQ(scene_.AtService().size(), 1u);
  EXPECT_TRUE(Eventually(kBound, [&] { return Post().status == 200; }));
  EXPECT_GT(absl::Now() - begin, absl::Milliseconds(1400));
  EXPECT_EQ(LogCount("upstream_paused"), 1u);
}

// Guards against requests that were under way when an upstream named its pause
// and reach it late: half a second after that, none may arrive.
TEST_F(upstream_statement_test, SendsUnderWayDoNotArriveWithinThePause) {
  std::mutex mutex;
  std::vector<absl::Time> arrivals;
  absl::Time named = absl::InfiniteFuture();
  scene_.OnService([&](QTcpSocket& socket, const raw_request& request) {
    const std::lock_guard lock(mutex);
    arrivals.push_back(absl::Now());
    QTimer::singleShot(50, &socket, [&, request] {
      Answer(socket, request, 503, kBusy);
      const std::lock_guard naming(mutex);
      named = std::min(named, absl::Now());
    });
  });
  std::vector<std::future<void>> callers;
  callers.reserve(16);
  for (int i = 0; i < 16; ++i) {
    callers.push_back(std::async(std::launch::async, [this] {
      const absl::Time end = absl::Now() + absl::Milliseconds(1300);
      while (absl::Now() < end) Post();
    }));
  }
  for (auto& caller : callers) caller.get();
  const std::lock_guard lock(mutex);
  EXPECT_GE(arrivals.size(), 1u);
  EXPECT_EQ(std::count_if(arrivals.begin(), arrivals.end(),
                          [named](absl::Time arrival) {
                            return arrival > named + absl::Milliseconds(500);
                          }),
            0);
}

// Guards against streams that are refused, or that break the pause, while the
// only engine asks for one: one that can wait does so.
TEST_F(upstream_statement_test, AStreamWaitsForThePauseOfTheOnlyEngine) {
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    if (platform_scene::Field(request, "request-id") == "refused") {
      return Answer(socket, request, 503, kBusy);
    }
    BeginStream(socket, request);
    EndStream(socket);
  });
  const test_answer refused = Draft("refused");
  EXPECT_EQ(refused.status, 503);
  double retry_after = 0;
  ASSERT_TRUE(absl::SimpleAtod(refused.Header("retry-after"), &retry_after));
  EXPECT_GT(retry_after, 1.4);
  const absl::Time begin = absl::Now();
  EXPECT_EQ(Draft("waits").status, 200);
  EXPECT_GT(absl::Now() - begin, absl::Milliseconds(1300));
  EXPECT_LT(absl::Now() - begin, absl::Milliseconds(2500));
  EXPECT_EQ(scene_.AtDecode().size(), 2u);
}

// Guards against requests that wait for an engine that returns too late.
TEST_F(upstream_statement_test, AStreamThatCannotWaitIsRefusedAtOnce) {
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    Answer(socket, request, 503, "Not-Run: 1\r\nRetry-After: 30\r\n");
  });
  EXPECT_EQ(Draft().status, 503);
  const absl::Time begin = absl::Now();
  const test_answer refused = Draft();
  EXPECT_LT(absl::Now() - begin, absl::Milliseconds(500));
  EXPECT_EQ(refused.status, 503);
  double retry_after = 0;
  ASSERT_TRUE(absl::SimpleAtod(refused.Header("retry-after"), &retry_after));
  EXPECT_GT(retry_after, 25);
  EXPECT_EQ(scene_.AtDecode().size(), 1u);
}

// Guards against upstreams that are out of use for an unreadable value.
TEST_F(upstream_statement_test, AnUnreadableValueChangesNothing) {
  scene_.OnService([](QTcpSocket& socket, const raw_request& request) {
    Answer(socket, request, 503,
           "Not-Run: 1\r\nServer-Leaving: maybe\r\nRetry-After: later\r\n");
  });
  for (int i = 0; i < 3; ++i) EXPECT_EQ(Post().status, 503);
  EXPECT_EQ(scene_.AtService().size(), 3u);
  EXPECT_EQ(LogCount("statement_unreadable"), 2u);
}

}  // namespace
}  // namespace anvilridge
