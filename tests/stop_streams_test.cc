// Streams through a whole planned stop of a real daemon process.
#include <signal.h>

#include <QTcpSocket>
#include <QTimer>
#include <map>
#include <memory>
#include <mutex>
#include <ostream>
#include <set>
#include <thread>

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

// The stop's grace, and its latest end by the daemon's own bounds.
constexpr absl::Duration kGrace = absl::Seconds(8);
constexpr absl::Duration kArrivalInterval = absl::Milliseconds(100);
// Time between two events of a stream.
constexpr absl::Duration kEventInterval = absl::Milliseconds(20);
constexpr absl::Duration kTimeLimit = absl::Seconds(20);
// Streams after which the daemon uses the lengths that it has seen.
constexpr int kLearnedStreams = 30;

// `/draft/` may be resumed, `/write/` may not.
constexpr char kConfig[] =
    R"({"Version":2,"Routes":[)"
    R"({"Name":"draft","Host":"a.example","PathPrefix":"/draft/",)"
    R"("Kind":"stream","TimeoutMs":30000,"LatencyTargetMs":2000,)"
    R"("Attempts":3,"CanResume":true,"GapTargetMs":300,"Service":"model"},)"
    R"({"Name":"write","Host":"a.example","PathPrefix":"/write/",)"
    R"("Kind":"stream","TimeoutMs":30000,"LatencyTargetMs":2000,)"
    R"("Attempts":3,"GapTargetMs":300,"Service":"model"}],)"
    R"("Services":[{"Name":"model","MaxConns":300,"Engine":{"Slots":100,)"
    R"("KvCapacity":1000000,"KvTokenBytes":16,"LinkMbps":1000,)"
    R"("HandleTtlS":30,"StageSwitchS":6,"Stride":10}}]})";

int EventCount(absl::Duration length) {
  return static_cast<int>(length / kEventInterval);
}

std::string WholeStream(absl::Duration length) {
  std::string text;
  for (int i = 1; i <= EventCount(length); ++i) {
    absl::StrAppend(&text, "id: ", i, "\ndata: t", i, "\n\n");
  }
  return text;
}

// Answers `request` with a stream of `length`.
void Generate(QTcpSocket& socket, const raw_request& request,
              absl::Duration length) {
  const std::string head =
      platform_scene::Head(request, 200) + "Transfer-Encoding: chunked\r\n\r\n";
  socket.write(head.data(), static_cast<qint64>(head.size()));
  int received = 0;
  (void)absl::SimpleAtoi(platform_scene::Field(request, "last-event-id"),
                         &received);
  auto* timer = new QTimer(&socket);
  QTcpSocket* to = &socket;
  QObject::connect(
      timer, &QTimer::timeout, to,
      [to, timer, next = received + 1, last = EventCount(length)]() mutable {
        platform_scene::Events(*to, next, next);
        if (next++ < last) return;
        to->write("0\r\n\r\n");
        timer->deleteLater();
      });
  timer->start(static_cast<int>(absl::ToInt64Milliseconds(kEventInterval)));
}

// Sends requests, each on a thread and a connection of its own.
class stream_callers {
 public:
  explicit stream_callers(const platform_scene& scene) : scene_(scene) {}
  ~stream_callers() { Join(); }

  // Starts the next caller. Every other one's stream may be resumed.
  // @return the request's id.
  std::string Begin(absl::Duration limit = kTimeLimit) {
    const bool resumable = threads_.size() % 2 == 0;
    return BeginAt(resumable ? "/draft/1" : "/write/1", limit);
  }

  // @param max_tokens most tokens that the stream may have.
  std::string BeginAt(const std::string& target,
                      absl::Duration limit = kTimeLimit,
                      int max_tokens = 40000) {
    std::string id = absl::StrCat("s", threads_.size());
    threads_.emplace_back([this, id, target, limit, max_tokens] {
      test_request request;
      request.method = "POST";
      request.body = "text";
      request.port = scene_.CallerPort();
      request.target = target;
      request.timeout = limit + absl::Seconds(1);
      request.headers = {
          {"Host", "a.example"},
          {"Request-Id", id},
          {"Token-Count", absl::StrCat("100,", max_tokens)},
          {"Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(limit))}};
      const test_answer answer = Send(request);
      const std::lock_guard lock(mutex_);
      answers_[id] = answer;
      ended_[id] = MonotonicNow();
    });
    return id;
  }

  void BeginEach(absl::Duration interval, absl::Duration span) {
    const absl::Time end = MonotonicNow() + span;
    while (MonotonicNow() < end) {
      Begin();
      std::this_thread::sleep_for(absl::ToChronoMilliseconds(interval));
    }
  }

  void Join() {
    for (std::thread& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
  }

  // Returns the answers by request id.
  std::map<std::string, test_answer> Answers() {
    const std::lock_guard lock(mutex_);
    return answers_;
  }

  // Returns when the answer to `id` had come; infinitely late if it hasn't.
  absl::Time EndOf(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto found = ended_.find(id);
    return found == ended_.end() ? absl::InfiniteFuture() : found->second;
  }

 private:
  const platform_scene& scene_;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::map<std::string, test_answer> answers_;
  std::map<std::string, absl::Time> ended_;
};

class stop_streams_test : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(scene_.Start());
    scene_.Put("keyed.op", "config", kConfig);
    ASSERT_TRUE(Eventually(absl::Seconds(10), [&] {
      return absl::StrContains(scene_.Daemon().Out(), R"("version":2)");
    }));
  }

  void SetDecodeSlots(const std::string& id, int slots) {
    scene_.Put(
        "keyed.servers", id,
        absl::StrCat(R"({"Service":"model","Addr":")", scene_.DecodeAddress(),
                     R"(","Zone":"z","Slots":)", slots,
                     R"(,"State":"ready","Stage":"decode",)", R"("Seq":1})"));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }

  // Lets the daemon see streams of `length`, so that it knows how long they
  // take.
  void Learn(absl::Duration length) {
    scene_.OnDecode([length](QTcpSocket& socket, const raw_request& request) {
      Generate(socket, request, length);
    });
    stream_callers callers(scene_);
    for (int i = 0; i < kLearnedStreams; ++i) {
      callers.Begin();
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    callers.Join();
    for (const auto& [id, answer] : callers.Answers()) {
      EXPECT_EQ(answer.body, WholeStream(length)) << id << answer.error;
    }
    learned_ = scene_.AtDecode().size();
  }

  // Ids of the requests that reached the decode engine after `Learn`.
  std::multiset<std::string> AtDecode() {
    std::multiset<std::string> ids;
    const std::vector<raw_request> requests = scene_.AtDecode();
    for (size_t i = learned_; i < requests.size(); ++i) {
      ids.insert(platform_scene::Field(requests[i], "request-id"));
    }
    return ids;
  }

  // Expects that each caller got its whole stream, or was told truly that it
  // was not run, or found no daemon any more. Returns the number of whole
  // streams.
  int ExpectWholeOrNotRun(stream_callers& callers, absl::Duration length) {
    callers.Join();
    const std::multiset<std::string> ran = AtDecode();
    int whole = 0;
    for (const auto& [id, answer] : callers.Answers()) {
      if (answer.status == 200) {
        EXPECT_EQ(answer.error, "") << id;
        EXPECT_EQ(answer.body, WholeStream(length)) << id;
        ++whole;
        continue;
      }
      EXPECT_TRUE(answer.status == 503 || answer.status == 0)
          << id << ": " << answer.status << " " << answer.body;
      EXPECT_EQ(ran.count(id), 0u)
          << id << " ran and ended with " << answer.status << " "
          << answer.error << answer.body;
    }
    return whole;
  }

  platform_scene scene_;
  size_t learned_ = 0;
};

class stop_stream_lengths_test
    : public stop_streams_test,
      public testing::WithParamInterface<absl::Duration> {};

// Guards against streams that are accepted too late in a planned stop and cut
// when the daemon ends.
TEST_P(stop_stream_lengths_test, EachStreamIsWholeOrNotRun) {
  SetDecodeSlots("d1", 100);
  Learn(GetParam());
  stream_callers callers(scene_);
  callers.BeginEach(kArrivalInterval, absl::Seconds(1));
  scene_.Daemon().Signal(SIGTERM);
  callers.BeginEach(kArrivalInterval, kGrace);
  EXPECT_EQ(scene_.Daemon().WaitForExit(absl::Seconds(2)), 0);
  // At least those that had begun before the stop.
  EXPECT_GE(ExpectWholeOrNotRun(callers, GetParam()), 8);
}

INSTANTIATE_TEST_SUITE_P(lengths, stop_stream_lengths_test,
                         testing::Values(absl::Milliseconds(300),
                                         absl::Seconds(2), absl::Seconds(5)),
                         [](const auto& info) {
                           return absl::StrCat(
                               "Ms", absl::ToInt64Milliseconds(info.param));
                         });

// Guards against a stream that is accepted late in a stop because earlier ones
// were short, and cut when the daemon ends. One whose token limit leaves no
// doubt is still accepted.
TEST_F(stop_streams_test, ALateStreamIsNotAcceptedByAnEstimate) {
  constexpr absl::Duration kShort = absl::Milliseconds(300);
  // Twice the tokens of `kShort`, at 10 an event.
  constexpr int kMaxTokens = 300;
  SetDecodeSlots("d1", 100);
  Learn(kShort);
  scene_.OnDecode([kShort](QTcpSocket& socket, const raw_request& request) {
    const bool limited =
        absl::EndsWith(platform_scene::Field(request, "token-count"), ",300");
    Generate(socket, request, limited ? kShort : absl::Seconds(6));
  });
  stream_callers callers(scene_);
  // It lets the daemon go on after the load balancer's time.
  const std::string open = callers.Begin();
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  scene_.Daemon().Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(3200));
  std::vector<std::string> refused;
  std::vector<std::string> accepted;
  for (const char* target : {"/draft/1", "/write/1"}) {
    refused.push_back(callers.BeginAt(target));
    accepted.push_back(callers.BeginAt(target, kTimeLimit, kMaxTokens));
  }
  EXPECT_EQ(scene_.Daemon().WaitForExit(absl::Seconds(6)), 0);
  callers.Join();
  std::map<std::string, test_answer> answers = callers.Answers();
  EXPECT_EQ(answers[open].body, WholeStream(absl::Seconds(6)));
  const std::multiset<std::string> ran = AtDecode();
  for (const std::string& id : refused) {
    EXPECT_EQ(answers[id].status, 503) << answers[id].body;
    EXPECT_NE(answers[id].Header("retry-after"), "");
    EXPECT_EQ(ran.count(id), 0u);
  }
  for (const std::string& id : accepted) {
    EXPECT_EQ(answers[id].status, 200) << answers[id].body;
    EXPECT_EQ(answers[id].body, WholeStream(kShort)) << answers[id].error;
  }
}

// Guards against a refusal that sends callers of a daemon without others back
// at once, where they are refused again until they have no retries left.
TEST_F(stop_streams_test, ARefusalOfTheOnlyDaemonNamesItsReturn) {
  SetDecodeSlots("d1", 100);
  Learn(absl::Seconds(5));
  scene_.Daemon().Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(1900));
  stream_callers callers(scene_);
  const std::string id = callers.Begin();
  callers.Join();
  const test_answer answer = callers.Answers()[id];
  EXPECT_EQ(answer.status, 503) << answer.body << answer.error;
  double seconds = 0;
  EXPECT_TRUE(absl::SimpleAtod(answer.Header("retry-after"), &seconds));
  // The stop ends after 3 s at the earliest.
  EXPECT_GE(seconds, 1.0);
  EXPECT_LE(seconds, absl::ToDoubleSeconds(kTimeLimit) / 3);
}

// Guards against streams that wait for an engine in a stop until they are cut
// or have no time left to go elsewhere.
TEST_F(stop_streams_test, WaitingStreamsThatCannotEndAreRefusedAtOnce) {
  SetDecodeSlots("d1", 100);
  Learn(absl::Seconds(5));
  SetDecodeSlots("d1", 2);
  stream_callers callers(scene_);
  callers.Begin();
  callers.Begin();
  // The running streams end 1 s after SIGTERM, too late for another one.
  std::this_thread::sleep_for(std::chrono::milliseconds(4000));
  const std::string first = callers.Begin();
  const std::string second = callers.Begin();
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_EQ(callers.EndOf(first), absl::InfiniteFuture());
  EXPECT_EQ(callers.EndOf(second), absl::InfiniteFuture());
  const absl::Time began = MonotonicNow();
  scene_.Daemon().Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  EXPECT_LE(callers.EndOf(first), began + absl::Milliseconds(500));
  EXPECT_LE(callers.EndOf(second), began + absl::Milliseconds(500));
  EXPECT_EQ(scene_.Daemon().WaitForExit(absl::Seconds(10)), 0);
  EXPECT_EQ(ExpectWholeOrNotRun(callers, absl::Seconds(5)), 2);
}

// Guards against a prefill that ends late in a stop and is followed by a decode
// that is cut, and against one that has no answer when the daemon ends.
TEST_F(stop_streams_test, AStreamWithASlowPrefillIsNotBegunLate) {
  SetDecodeSlots("d1", 100);
  Learn(absl::Seconds(2));
  scene_.OnPrefill([](QTcpSocket& socket, const raw_request& request) {
    const std::string body =
        request.method == "DELETE" ? "{}" : R"({"Handle":"h1","Tokens":100})";
    const std::string text =
        absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ",
                     platform_scene::Field(request, "request-id"),
                     "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
    QTcpSocket* to = &socket;
    QTimer::singleShot(1400, to, [to, text] {
      to->write(text.data(), static_cast<qint64>(text.size()));
    });
  });
  scene_.Daemon().Signal(SIGTERM);
  stream_callers callers(scene_);
  callers.BeginEach(kArrivalInterval, kGrace);
  EXPECT_EQ(scene_.Daemon().WaitForExit(absl::Seconds(2)), 0);
  EXPECT_GT(ExpectWholeOrNotRun(callers, absl::Seconds(2)), 0);
}

// Guards against a send behind a refusal that begins too late in a stop.
TEST_F(stop_streams_test, AStreamThatIsRefusedLateIsNotSentAgain) {
  SetDecodeSlots("d1", 100);
  SetDecodeSlots("d2", 100);
  Learn(absl::Seconds(2));
  // Each request is refused by the first engine that it reaches, and runs at
  // the second.
  auto seen = std::make_shared<std::set<std::string>>();
  auto ran = std::make_shared<std::set<std::string>>();
  scene_.OnDecode([seen, ran](QTcpSocket& socket, const raw_request& request) {
    const std::string id = platform_scene::Field(request, "request-id");
    if (!seen->insert(id).second) {
      ran->insert(id);
      return Generate(socket, request, absl::Seconds(2));
    }
    const std::string text =
        absl::StrCat("HTTP/1.1 503 X\r\nRequest-Id: ", id,
                     "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    QTcpSocket* to = &socket;
    QTimer::singleShot(700, to, [to, text] {
      to->write(text.data(), static_cast<qint64>(text.size()));
    });
  });
  stream_callers callers(scene_);
  scene_.Daemon().Signal(SIGTERM);
  callers.BeginEach(kArrivalInterval, kGrace);
  EXPECT_EQ(scene_.Daemon().WaitForExit(absl::Seconds(2)), 0);
  callers.Join();
  const std::vector<raw_request> requests = scene_.AtDecode();
  int whole = 0;
  for (const auto& [id, answer] : callers.Answers()) {
    if (answer.status == 200) {
      EXPECT_EQ(answer.body, WholeStream(absl::Seconds(2))) << id;
      ++whole;
      continue;
    }
    EXPECT_TRUE(answer.status == 503 || answer.status == 0)
        << id << ": " << answer.status << " " << answer.body;
    EXPECT_FALSE(ran->contains(id))
        << id << " ran and ended with " << answer.status << answer.error;
  }
  EXPECT_GT(whole, 0);
}

// Guards against a stop whose end moves, so that what it accepted by the first
// end is cut by another one.
TEST_F(stop_streams_test, TheEndOfAStopIsFixedWhenItBegins) {
  SetDecodeSlots("d1", 100);
  Learn(absl::Seconds(5));
  stream_callers callers(scene_);
  const absl::Time began = MonotonicNow();
  scene_.Daemon().Signal(SIGTERM);
  callers.Begin();
  callers.Begin();
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  scene_.WriteSettings("slack = 50\n[stop]\ngrace = 2s");
  scene_.Daemon().Signal(SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  scene_.Daemon().Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  scene_.WriteSettings("slack = 50\n[stop]\ngrace = 60s");
  scene_.Daemon().Signal(SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  scene_.Daemon().Signal(SIGTERM);
  EXPECT_EQ(scene_.Daemon().WaitForExit(absl::Seconds(10)), 0);
  EXPECT_LE(MonotonicNow() - began, kGrace);
  EXPECT_TRUE(absl::StrContains(scene_.Daemon().Out(), "settings_reloaded"));
  EXPECT_EQ(ExpectWholeOrNotRun(callers, absl::Seconds(5)), 2);
}

}  // namespace
}  // namespace anvilridge
