// A stream has one position in the decode pool at a time: a place in the queue,
// a reserved engine or a decode. Over a real daemon process: a prefill is
// silent while the reserved engine leaves and no other engine has a free slot,
// so that the stream waits for a place beside its prefill.
#include <QTimer>
#include <csignal>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "dispatch/daemon_count.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/platform_scene.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

// Within which a daemon on this machine must act.
constexpr absl::Duration kBound = absl::Seconds(10);
// Earned within a second or two.
constexpr char kSomeBudget[] = "slack = 50\nwindow = 1s";
constexpr char kWholeStream[] =
    "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n";
constexpr char kOtherId[] = "other";
constexpr char kId[] = "watched";

// Times since the watched stream was sent. A prefill counts as silent after 1.5
// s, and is checked again after 2 s. A stream must begin within 4.5 s.
constexpr absl::Duration kReservedLeaves = absl::Milliseconds(700);
constexpr absl::Duration kPrefillEnds = absl::Milliseconds(2300);
constexpr absl::Duration kEnginesCome = absl::Milliseconds(2700);
constexpr absl::Duration kEngineComesAfterCheck = absl::Milliseconds(2200);
constexpr absl::Duration kBehindLatestStart = absl::Milliseconds(5200);

// How a prefill ends that was silent.
enum class prefill_end { answered, refused, failed, lost, never };

struct place_case {
  std::string name;
  prefill_end end;
  bool resumable;
};

void PrintTo(const place_case& tried, std::ostream* out) { *out << tried.name; }

void Write(QTcpSocket& socket, const std::string& text) {
  socket.write(text.data(), static_cast<qint64>(text.size()));
}

void After(absl::Duration delay, QTcpSocket& socket,
           std::function<void(QTcpSocket&)> task) {
  QTcpSocket* to = &socket;
  QTimer::singleShot(absl::ToChronoMilliseconds(delay), to,
                     [to, task = std::move(task)] { task(*to); });
}

void Respond(QTcpSocket& socket, const raw_request& request, int status,
             const std::string& body, const std::string& fields = "") {
  Write(socket,
        absl::StrCat(platform_scene::Head(request, status), fields,
                     "Content-Length: ", body.size(), "\r\n\r\n", body));
}

void EndPrefill(QTcpSocket& socket, const raw_request& request,
                prefill_end end) {
  switch (end) {
    case prefill_end::answered:
      return Respond(socket, request, 200, R"({"Handle":"h1","Tokens":100})");
    case prefill_end::refused:
      return Respond(socket, request, 503, "", "Not-Run: 1\r\n");
    case prefill_end::failed:
      return Respond(socket, request, 500, "failed");
    case prefill_end::lost:
      return raw_server::Reset(socket);
    case prefill_end::never:
      return;
  }
}

void BeginStream(QTcpSocket& socket, const raw_request& request, int events) {
  Write(socket, platform_scene::Head(request, 200) +
                    "Transfer-Encoding: chunked\r\n\r\n");
  platform_scene::Events(socket, 1, events);
}

void EndStream(QTcpSocket& socket, int from) {
  platform_scene::Events(socket, from, 3);
  Write(socket, "0\r\n\r\n");
}

std::string IdOf(const raw_request& request) {
  return platform_scene::Field(request, "request-id");
}

class queued_stream_test : public testing::Test {
 protected:
  // Starts the daemon, lets another stream use the slot of the first decode
  // engine, and registers a second one.
  // @param serve what an engine does with the watched stream.
  void Start(prefill_end end, raw_server::handler serve) {
    scene_.Put("keyed.op", "config",
               R"({"Version":2,"Routes":[{"Name":"draft","Host":"a.example",)"
               R"("PathPrefix":"/draft/","Kind":"stream","TimeoutMs":14000,)"
               R"("LatencyTargetMs":1500,"Attempts":2,"CanResume":true,)"
               R"("GapTargetMs":300,"Service":"model"},{"Name":"note",)"
               R"("Host":"a.example","PathPrefix":"/note/","Kind":"stream",)"
               R"("TimeoutMs":14000,"LatencyTargetMs":1500,"Attempts":1,)"
               R"("GapTargetMs":300,"Service":"model"}],"Services":[)"
               R"({"Name":"model","MaxConns":9,"Engine":{"Slots":1,)"
               R"("KvCapacity":100000,"KvTokenBytes":16,"LinkMbps":1000,)"
               R"("HandleTtlS":5,"StageSwitchS":6,"Stride":10}}]})");
    scene_.OnPrefill([end](QTcpSocket& socket, const raw_request& request) {
      if (request.method == "DELETE") {
        return Respond(socket, request, 200, "{}");
      }
      if (IdOf(request) == kOtherId) {
        return EndPrefill(socket, request, prefill_end::answered);
      }
      After(kPrefillEnds, socket,
            [request, end](QTcpSocket& to) { EndPrefill(to, request, end); });
    });
    scene_.OnDecode([serve = std::move(serve)](QTcpSocket& socket,
                                               const raw_request& request) {
      // The other stream goes on for longer than the test.
      if (IdOf(request) == kOtherId) return BeginStream(socket, request, 1);
      serve(socket, request);
    });
    ASSERT_TRUE(scene_.Start(kSomeBudget));
    other_ = Open("/note/1", kOtherId);
    ASSERT_TRUE(other_->WaitForEvents(1, kBound));
    Register("d2", "ready");
    ASSERT_TRUE(Eventually(kBound, [&] { return Logged("d2"); }));
    // A daemon has no extra sends at its start.
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(kCountSettleTime) +
                                std::chrono::milliseconds(500));
  }

  // Sends the watched stream, and has its reserved engine leave.
  void SendWatched(bool resumable) {
    watched_ = Open(resumable ? "/draft/1" : "/note/1", kId);
    sent_ = absl::Now();
    WaitUntil(kReservedLeaves);
    Register("d2", "draining");
  }

  void WaitUntil(absl::Duration since_sent) {
    absl::SleepFor(sent_ + since_sent - absl::Now());
  }

  void Register(const std::string& id, const std::string& state) {
    scene_.Put(
        "keyed.servers", id,
        absl::StrCat(R"({"Service":"model","Addr":")", scene_.DecodeAddress(),
                     R"(","Zone":"z","Slots":1,"State":")", state,
                     R"(","Stage":"decode","Seq":0})"));
  }

  std::unique_ptr<event_stream> Open(const std::string& target,
                                     const std::string& id) {
    test_request request;
    request.method = "POST";
    request.port = scene_.CallerPort();
    request.target = target;
    request.headers = {{"Host", "a.example"},
                       {"Request-Id", id},
                       {"Token-Count", "100,400"},
                       {"Deadline-Ms", "13000"}};
    request.body = "text";
    request.timeout = absl::Seconds(30);
    return std::make_unique<event_stream>(request);
  }

  bool Logged(const std::string& text) {
    return absl::StrContains(scene_.Daemon().Out(),
                             absl::StrCat("\"", text, "\""));
  }

  // Returns how often decode engines have received the watched stream.
  int Decodes() {
    int decodes = 0;
    for (const raw_request& request : scene_.AtDecode()) {
      if (IdOf(request) == kId) ++decodes;
    }
    return decodes;
  }

  void ExpectWholeAndOnce() {
    ASSERT_TRUE(watched_->WaitForEnd(kBound));
    const test_answer answer = watched_->Answer();
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.error, "");
    EXPECT_EQ(answer.body, kWholeStream);
    EXPECT_EQ(Decodes(), 1);
    EXPECT_TRUE(Logged("reserved_engine_unavailable"));
  }

  platform_scene scene_;
  std::unique_ptr<event_stream> other_;
  std::unique_ptr<event_stream> watched_;
  absl::Time sent_;
};

class late_prefill_test : public queued_stream_test,
                          public testing::WithParamInterface<place_case> {};

// Guards against a stream that is queued once more when its prefill ends while
// it waits for a place, and then runs at two engines.
TEST_P(late_prefill_test, AQueuedStreamRunsOnce) {
  ASSERT_NO_FATAL_FAILURE(
      Start(GetParam().end, [](QTcpSocket& socket, const raw_request& request) {
        BeginStream(socket, request, 1);
        After(absl::Milliseconds(500), socket,
              [](QTcpSocket& to) { EndStream(to, 2); });
      }));
  SendWatched(GetParam().resumable);
  WaitUntil(kEnginesCome);
  Register("d3", "ready");
  Register("d4", "ready");
  ExpectWholeAndOnce();
}

std::vector<place_case> AllCases() {
  std::vector<place_case> cases;
  for (const auto& [name, end] : {std::pair("Answered", prefill_end::answered),
                                  std::pair("Failed", prefill_end::failed),
                                  std::pair("Lost", prefill_end::lost),
                                  std::pair("Hangs", prefill_end::never)}) {
    cases.push_back({name, end, false});
    cases.push_back({absl::StrCat(name, "Resumable"), end, true});
  }
  cases.push_back({"RefusedResumable", prefill_end::refused, true});
  return cases;
}

INSTANTIATE_TEST_SUITE_P(prefills, late_prefill_test,
                         testing::ValuesIn(AllCases()),
                         [](const auto& test) { return test.param.name; });

// Guards against a stream without an attempt left that waits in the queue until
// its time is over, although it can't be sent any more.
TEST_F(queued_stream_test, AQueuedStreamWithoutAttemptsIsRefusedAtOnce) {
  ASSERT_NO_FATAL_FAILURE(Start(
      prefill_end::refused, [](QTcpSocket& socket, const raw_request& request) {
        BeginStream(socket, request, 0);
        EndStream(socket, 1);
      }));
  SendWatched(/*resumable=*/false);
  ASSERT_TRUE(watched_->WaitForEnd(kBound));
  EXPECT_LT(absl::Now() - sent_, kPrefillEnds + absl::Seconds(1));
  EXPECT_EQ(watched_->Answer().status, 503);
  EXPECT_EQ(Decodes(), 0);
}

// A place that is refused while the stream of another place is sent.
class refused_place_test : public queued_stream_test,
                           public testing::WithParamInterface<int> {};

// Guards against telling a caller that its stream has not run, or cutting it
// off, when a place is refused beside a send.
TEST_P(refused_place_test, DoesNotEndAStreamThatWasSent) {
  const int events = GetParam();
  ASSERT_NO_FATAL_FAILURE(
      Start(prefill_end::answered,
            [events](QTcpSocket& socket, const raw_request& request) {
              BeginStream(socket, request, events);
              After(kBehindLatestStart - kEnginesCome, socket,
                    [events](QTcpSocket& to) { EndStream(to, events + 1); });
            }));
  SendWatched(/*resumable=*/false);
  WaitUntil(kEnginesCome);
  Register("d3", "ready");
  ExpectWholeAndOnce();
}

INSTANTIATE_TEST_SUITE_P(events_before, refused_place_test,
                         testing::Values(0, 1));

// Guards against a stream that is queued again at each check of a prefill that
// hangs.
TEST_F(queued_stream_test, AHungPrefillQueuesItsStreamOnce) {
  ASSERT_NO_FATAL_FAILURE(Start(
      prefill_end::never, [](QTcpSocket& socket, const raw_request& request) {
        BeginStream(socket, request, 1);
        After(kBehindLatestStart - kEngineComesAfterCheck, socket,
              [](QTcpSocket& to) { EndStream(to, 2); });
      }));
  SendWatched(/*resumable=*/false);
  WaitUntil(kEngineComesAfterCheck);
  Register("d3", "ready");
  ExpectWholeAndOnce();
}

// Guards against a decode for a caller that has left while its stream was
// queued beside its prefill.
TEST_F(queued_stream_test, AQueuedStreamWhoseCallerLeavesIsNotSent) {
  ASSERT_NO_FATAL_FAILURE(
      Start(prefill_end::answered,
            [](QTcpSocket& socket, const raw_request& request) {
              BeginStream(socket, request, 0);
              EndStream(socket, 1);
            }));
  SendWatched(/*resumable=*/false);
  ASSERT_TRUE(Eventually(
      kBound, [&] { return Logged("reserved_engine_unavailable"); }));
  watched_->Cut();
  WaitUntil(kEnginesCome);
  Register("d3", "ready");
  absl::SleepFor(absl::Seconds(1));
  EXPECT_EQ(Decodes(), 0);
}

// Guards against a refusal in a stop that leaves a place in the queue.
TEST_F(queued_stream_test, AQueuedStreamThatAStopRefusesIsNotSent) {
  ASSERT_NO_FATAL_FAILURE(Start(
      prefill_end::never, [](QTcpSocket& socket, const raw_request& request) {
        BeginStream(socket, request, 0);
        EndStream(socket, 1);
      }));
  SendWatched(/*resumable=*/false);
  ASSERT_TRUE(Eventually(
      kBound, [&] { return Logged("reserved_engine_unavailable"); }));
  scene_.Daemon().Signal(SIGTERM);
  ASSERT_TRUE(watched_->WaitForEnd(kBound));
  EXPECT_EQ(watched_->Answer().status, 503);
  Register("d3", "ready");
  absl::SleepFor(absl::Seconds(1));
  EXPECT_EQ(Decodes(), 0);
}

// Guards against an engine that holds the cache of a prompt for a stream which
// was sent without it: a prefill that ends while its stream is queued is used.
TEST_F(queued_stream_test, AQueuedStreamTakesTheCacheOfItsLatePrefill) {
  ASSERT_NO_FATAL_FAILURE(
      Start(prefill_end::answered,
            [](QTcpSocket& socket, const raw_request& request) {
              BeginStream(socket, request, 0);
              EndStream(socket, 1);
            }));
  SendWatched(/*resumable=*/false);
  WaitUntil(kEnginesCome);
  Register("d3", "ready");
  ExpectWholeAndOnce();
  for (const raw_request& request : scene_.AtDecode()) {
    EXPECT_NE(platform_scene::Field(request, "kv-source"), "");
  }
}

}  // namespace
}  // namespace anvilridge
