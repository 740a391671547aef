// Prompts that crash engines, over several daemons as processes and engines
// that end and come back as other instances.
#include <unistd.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QPointer>
#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "base/event_thread.h"
#include "base/testing/run_loop.h"
#include "gtest/gtest.h"
#include "harness/child_process.h"
#include "harness/eventually.h"
#include "harness/platform_scene.h"
#include "harness/store_standin.h"
#include "harness/temp_folder.h"
#include "harness/test_http.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(10);
constexpr int kDaemons = 3;
constexpr int kFirstSharingPort = 7660;
constexpr int kEngines = 8;
// Time for which an engine that has crashed is away.
constexpr absl::Duration kRestart = absl::Milliseconds(1000);
constexpr absl::Duration kEventGap = absl::Milliseconds(10);
constexpr absl::Duration kSlowEventGap = absl::Milliseconds(250);
constexpr absl::Duration kSlowPrefill = absl::Seconds(3);
constexpr int kEvents = 12;
// Parts of prompts: one that crashes engines, and the first part of all.
constexpr char kDeadlyPart[] = "dead";
constexpr char kFirstPart[] = "5ea50";
// Crashes after which the part must be known, and the time that daemons have
// to tell each other.
constexpr int kCrashesToLearn = 5;
constexpr absl::Duration kLearningTime = absl::Seconds(3);
// Requests with the part that may reach engines after that.
constexpr int kToleratedRequests = 3;

constexpr char kConfig[] =
    R"({"Version":1,"Routes":[)"
    R"({"Name":"draft","Host":"a.example","PathPrefix":"/draft/",)"
    R"("Kind":"stream","TimeoutMs":5000,"LatencyTargetMs":900,"Attempts":2,)"
    R"("CanResume":true,"GapTargetMs":300,"Service":"model"}],)"
    R"("Services":[{"Name":"model","MaxConns":50,"Engine":{"Slots":12,)"
    R"("KvCapacity":100000,"KvTokenBytes":16,"LinkMbps":1000,)"
    R"("HandleTtlS":5,"StageSwitchS":6,"Stride":1}}]})";

void Write(QTcpSocket& socket, const std::string& text) {
  socket.write(text.data(), static_cast<qint64>(text.size()));
}

// What an engine does with a request: a prefill engine when the prompt arrives,
// a decode engine when it begins to write.
enum class engine_act {
  serve,
  serve_slowly,
  crash,
  reset,
  // Sends no event.
  mute,
  crash_prefill,
  slow_prefill,
};
using act_choice = std::function<engine_act(const raw_request&)>;

// One engine behind a changing port. Lives on the thread of the scene.
class test_engine {
 public:
  test_engine(int number, std::string stage, int slots, store_standin& store,
              act_choice choose)
      : number_(number),
        stage_(std::move(stage)),
        slots_(slots),
        store_(store),
        choose_(std::move(choose)) {
    Start();
  }

  // Ends the engine with all its streams, and starts another instance later.
  void Crash() {
    if (!server_) return;
    ++crashes;
    store_.Put("keyed.servers", Id(), "");
    RunAfter(&context_, absl::ZeroDuration(), [this] { server_.reset(); });
    RunAfter(&context_, kRestart, [this] { Start(); });
  }

  int crashes = 0;
  // Arrival times of requests with the deadly part.
  std::vector<absl::Time> deadly_arrivals;
  // Ids of the requests that have arrived at the engine to be decoded.
  std::set<std::string> decoded;

 private:
  std::string Id() const { return absl::StrCat("e", number_, "-", starts_); }

  void Start() {
    ++starts_;
    server_ = std::make_unique<raw_server>(
        [this](QTcpSocket& socket, const raw_request& request) {
          Handle(socket, request);
        });
    store_.Put(
        "keyed.servers", Id(),
        absl::StrCat(R"({"Service":"model","Addr":")", server_->Address(),
                     R"(","Zone":"z","Slots":)", slots_,
                     R"(,"State":"ready","Stage":")", stage_, R"(","Seq":0})"));
  }

  void Respond(QTcpSocket& socket, const raw_request& request,
               const std::string& body) {
    Write(socket,
          absl::StrCat(platform_scene::Head(request, 200),
                       "Content-Length: ", body.size(), "\r\n\r\n", body));
  }

  void Handle(QTcpSocket& socket, const raw_request& request) {
    if (request.method == "DELETE") return Respond(socket, request, "{}");
    if (request.target == "/api/report") {
      return Respond(
          socket, request,
          absl::StrCat(R"({"Busy":false,"Seq":0,"Stage":")", stage_, R"("})"));
    }
    const std::string prefix = platform_scene::Field(request, "prompt-prefix");
    if (absl::StrContains(prefix, kDeadlyPart)) {
      deadly_arrivals.push_back(MonotonicNow());
    }
    if (stage_ == "prefill") return Prefill(socket, request);
    decoded.insert(platform_scene::Field(request, "request-id"));
    Write(socket, platform_scene::Head(request, 200) +
                      "Transfer-Encoding: chunked\r\n\r\n");
    const engine_act act = choose_(request);
    int last = 0;
    (void)absl::SimpleAtoi(platform_scene::Field(request, "last-event-id"),
                           &last);
    RunAfter(&context_, kEventGap,
             [this, to = QPointer<QTcpSocket>(&socket), act, next = last + 1] {
               if (!to) return;
               if (act == engine_act::crash) return Crash();
               if (act == engine_act::reset) return raw_server::Reset(*to);
               if (act == engine_act::mute) return;
               NextEvent(
                   to, next,
                   act == engine_act::serve_slowly ? kSlowEventGap : kEventGap);
             });
  }

  void Prefill(QTcpSocket& socket, const raw_request& request) {
    const engine_act act = choose_(request);
    if (act == engine_act::crash_prefill) return Crash();
    RunAfter(
        &socket,
        act == engine_act::slow_prefill ? kSlowPrefill : absl::ZeroDuration(),
        [this, &socket, request] {
          Respond(socket, request, R"({"Handle":"h1","Tokens":100})");
        });
  }

  void NextEvent(const QPointer<QTcpSocket>& socket, int number,
                 absl::Duration gap) {
    if (!socket) return;
    if (number > kEvents) return Write(*socket, "0\r\n\r\n");
    platform_scene::Events(*socket, number, number);
    RunAfter(&context_, gap, [this, socket, number, gap] {
      NextEvent(socket, number + 1, gap);
    });
  }

  const int number_;
  const std::string stage_;
  const int slots_;
  store_standin& store_;
  const act_choice choose_;
  int starts_ = 0;
  QObject context_;
  std::unique_ptr<raw_server> server_;
};

// Returns a loopback address that no other process uses, so that its ports are
// free whatever runs beside the test.
std::string OwnAddress() {
  const auto id = static_cast<uint32_t>(getpid());
  return absl::StrCat("127.", 1 + (id >> 16U) % 254, ".", (id >> 8U) % 256, ".",
                      id % 256);
}

// A daemon as a process.
class test_daemon {
 public:
  test_daemon(int number, const std::string& store) {
    folder_.Write(
        "fleet.ini",
        absl::StrCat("[daemon]\nname = entry-", number,
                     "\nfailure_domain = z\n"
                     "[caller]\nlisten = 127.0.0.1:0\n"
                     "[readiness]\nlisten = 127.0.0.1:0\n"
                     "[metrics]\nlisten = 127.0.0.1:0\n"
                     "[sharing]\nlisten = ",
                     OwnAddress(), ":", kFirstSharingPort + number,
                     "\n[budget]\nslack = 100\n", "[store]\naddress = ", store,
                     "\n[log]\ndestination = stdout\n"));
    Start();
  }

  void Start() {
    process_ = std::make_unique<child_process>(
        "anvilridge_fleet",
        std::vector<std::string>{"--config", folder_.File("fleet.ini")});
    started_ = {};
  }

  bool IsReady() {
    const QJsonObject started = Started();
    return !started.isEmpty() &&
           Get(static_cast<uint16_t>(started["readiness_port"].toInt()),
               "/readyz")
                   .status == 200;
  }
  uint16_t CallerPort() {
    return static_cast<uint16_t>(Started()["caller_port"].toInt());
  }
  uint16_t MetricsPort() {
    return static_cast<uint16_t>(Started()["metrics_port"].toInt());
  }
  child_process& Process() { return *process_; }

 private:
  QJsonObject Started() {
    if (!started_.isEmpty()) return started_;
    for (absl::string_view line : absl::StrSplit(process_->Out(), '\n')) {
      const QJsonObject event =
          QJsonDocument::fromJson(
              QByteArray(line.data(), static_cast<qsizetype>(line.size())))
              .object();
      if (event["event"] == "started") started_ = event;
    }
    return started_;
  }

  temp_folder folder_;
  std::unique_ptr<child_process> process_;
  QJsonObject started_;
};

class crashing_prompt_test : public testing::Test {
 protected:
  ~crashing_prompt_test() override {
    JoinCallers();
    daemons_.clear();
    RunAndWait(thread_->Context(), [this] {
      engines_.clear();
      store_.reset();
    });
  }

  // Guards against refusals which say that a request hasn't run that an engine
  // has got.
  void TearDown() override {
    JoinCallers();
    std::set<std::string> decoded;
    RunAndWait(thread_->Context(), [&] {
      for (const auto& engine : engines_) {
        decoded.insert(engine->decoded.begin(), engine->decoded.end());
      }
    });
    for (const std::string& id : said_not_run_) {
      EXPECT_FALSE(decoded.contains(id)) << id;
    }
  }

  // Starts engines that do with each request what `choose` says, and daemons.
  // All engines share one copy of it, so that what it counts is of all.
  void Start(const act_choice& choose_act, int prefills = 1, int slots = 12) {
    EnsureTestApplication();
    const act_choice choose =
        [shared = std::make_shared<act_choice>(choose_act)](
            const raw_request& request) { return (*shared)(request); };
    thread_ = std::make_unique<event_thread>("engines");
    RunAndWait(thread_->Context(), [&] {
      store_ = std::make_unique<store_standin>();
      store_->Put("keyed.op", "config", kConfig);
      for (int i = 0; i < prefills; ++i) {
        engines_.push_back(std::make_unique<test_engine>(
            100 + i, "prefill", /*slots=*/12, *store_, choose));
      }
      for (int i = 1; i <= kEngines; ++i) {
        engines_.push_back(
            std::make_unique<test_engine>(i, "decode", slots, *store_, choose));
      }
    });
    for (int i = 0; i < kDaemons; ++i) {
      daemons_.push_back(std::make_unique<test_daemon>(i, store_->Address()));
    }
    for (const auto& daemon : daemons_) {
      ASSERT_TRUE(Eventually(kBound, [&] { return daemon->IsReady(); }));
    }
    // The daemons find each other.
    absl::SleepFor(absl::Seconds(1));
  }

  // Sends a request with these shared parts to a daemon.
  test_answer Ask(size_t daemon, const std::string& parts) {
    test_request request;
    request.method = "POST";
    request.port = daemons_[daemon]->CallerPort();
    request.target = "/draft/1";
    const int number = ++requests_;
    const std::string id = absl::StrCat("q", number);
    request.headers = {
        {"Host", "a.example"},
        {"Request-Id", id},
        {"Token-Count", "100,12"},
        {"Deadline-Ms", "4000"},
        {"Prompt-Prefix",
         absl::StrCat(parts, ":50,", absl::Hex(number + 0x10000), ":50")}};
    test_answer answer = Send(request);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (answer.Json()["ran"].toString() == "not_run") said_not_run_.insert(id);
    return answer;
  }

  // Sends a request without waiting for its answer.
  void Post(size_t daemon, const std::string& parts) {
    callers_.emplace_back([this, daemon, parts] {
      const test_answer answer = Ask(daemon, parts);
      const std::lock_guard<std::mutex> lock(mutex_);
      ++statuses_[answer.status];
      if (absl::StrContains(answer.body, "prompt_quarantined")) ++held_back_;
    });
  }

  // Waits for the answers to all posted requests.
  void JoinCallers() {
    for (std::thread& caller : callers_) caller.join();
    callers_.clear();
  }

  // Returns the number of parts that `daemon` holds back.
  static int Quarantined(test_daemon& daemon) {
    const test_answer answer = Get(daemon.MetricsPort(), "/quarantine");
    EXPECT_EQ(answer.status, 200);
    int parts = 0;
    for (const char* stage : {"prefill", "decode"}) {
      const QJsonObject known = answer.Json()[stage].toObject();
      parts += static_cast<int>(known["quarantined"].toArray().size());
    }
    return parts;
  }

  int Crashes() {
    int crashes = 0;
    RunAndWait(thread_->Context(), [&] {
      for (const auto& engine : engines_) crashes += engine->crashes;
    });
    return crashes;
  }

  // Returns how many requests with the deadly part reached engines after
  // `time`.
  int DeadlyArrivals(absl::Time time) {
    int arrivals = 0;
    RunAndWait(thread_->Context(), [&] {
      for (const auto& engine : engines_) {
        arrivals += static_cast<int>(std::count_if(
            engine->deadly_arrivals.begin(), engine->deadly_arrivals.end(),
            [time](absl::Time arrival) { return arrival > time; }));
      }
    });
    return arrivals;
  }

  // Sends requests with the deadly part, each to another daemon and with a
  // sound one beside it, until enough engines have crashed to learn the part.
  void CrashEngines() {
    for (size_t i = 0; Crashes() < kCrashesToLearn && i < 10; ++i) {
      Post(i % kDaemons, absl::StrCat(kFirstPart, ":20,", kDeadlyPart));
      Post((i + 1) % kDaemons, kFirstPart);
      absl::SleepFor(absl::Milliseconds(300));
    }
  }

  // Waits until all daemons hold the deadly part back.
  bool AllKnowThePart() {
    return Eventually(kBound, [this] {
      return std::all_of(
          daemons_.begin(), daemons_.end(),
          [](const auto& daemon) { return Quarantined(*daemon) > 0; });
    });
  }

  static engine_act CrashOnDeadlyPart(const raw_request& request) {
    const std::string prefix = platform_scene::Field(request, "prompt-prefix");
    return absl::StrContains(prefix, kDeadlyPart) ? engine_act::crash
                                                  : engine_act::serve;
  }

  std::vector<std::unique_ptr<test_daemon>> daemons_;
  std::unique_ptr<event_thread> thread_;
  std::unique_ptr<store_standin> store_;
  std::vector<std::unique_ptr<test_engine>> engines_;
  std::atomic<int> requests_ = 0;
  std::mutex mutex_;
  std::map<int, int> statuses_;
  int held_back_ = 0;
  std::set<std::string> said_not_run_;
  std::vector<std::thread> callers_;
};

// Guards against requests that crash engines one after the other: each was sent
// again to another engine, and nothing told what they had in common.
TEST_F(crashing_prompt_test, APartThatCrashesEnginesReachesNoMoreOfThem) {
  ASSERT_NO_FATAL_FAILURE(Start(CrashOnDeadlyPart));
  CrashEngines();
  absl::SleepFor(kLearningTime);
  const int crashes = Crashes();
  const absl::Time learned = MonotonicNow();
  int sound = 0;
  for (size_t i = 0; i < 12; ++i) {
    Post(i % kDaemons, absl::StrCat(kFirstPart, ":20,", kDeadlyPart));
    sound += Ask((i + 1) % kDaemons, kFirstPart).status == 200 ? 1 : 0;
  }
  JoinCallers();
  EXPECT_LE(DeadlyArrivals(learned), kToleratedRequests);
  EXPECT_LE(Crashes() - crashes, kToleratedRequests);
  EXPECT_EQ(sound, 12);
}

// Guards against sound requests that are held back, or served less often,
// because engines crash in series and no part of a prompt is to blame.
TEST_F(crashing_prompt_test, CrashesForOtherReasonsHoldNothingBack) {
  ASSERT_NO_FATAL_FAILURE(Start([runs = 0](const raw_request&) mutable {
    return ++runs % 7 == 0 ? engine_act::crash : engine_act::serve;
  }));
  for (int i = 0; i < 60; ++i) {
    Post(static_cast<size_t>(i) % kDaemons,
         absl::StrCat(kFirstPart, i % 2, ":20,", absl::Hex(i % 20 + 0x200)));
    absl::SleepFor(absl::Milliseconds(50));
  }
  JoinCallers();
  EXPECT_GE(Crashes(), 6);
  EXPECT_EQ(held_back_, 0);
  EXPECT_GE(statuses_[200], 50);
  for (const auto& daemon : daemons_) {
    EXPECT_EQ(Quarantined(*daemon), 0)
        << Get(daemon->MetricsPort(), "/quarantine").body;
  }
}

// Guards against sends of requests that were accepted before the verdict: ones
// that are prefilled at the time, or are at a silent engine beside which
// another one would be asked.
TEST_F(crashing_prompt_test, RequestsInProgressReachNoFurtherEngines) {
  const std::string slow_part = "510";
  const std::string mute_part = "60e";
  ASSERT_NO_FATAL_FAILURE(Start([&](const raw_request& request) {
    const std::string prefix = platform_scene::Field(request, "prompt-prefix");
    const bool at_prefill =
        platform_scene::Field(request, "stage") == "prefill";
    if (absl::StrContains(prefix, slow_part) && at_prefill) {
      return engine_act::slow_prefill;
    }
    if (absl::StrContains(prefix, mute_part)) return engine_act::mute;
    return CrashOnDeadlyPart(request);
  }));
  for (size_t i = 0; i < kDaemons; ++i) {
    Post(i, absl::StrCat(slow_part, ":20,", kDeadlyPart));
    Post(i, absl::StrCat(mute_part, ":20,", kDeadlyPart));
  }
  for (size_t i = 0; i < kCrashesToLearn; ++i) {
    Post(i % kDaemons, absl::StrCat(kFirstPart, ":20,", kDeadlyPart));
    absl::SleepFor(absl::Milliseconds(150));
  }
  ASSERT_TRUE(AllKnowThePart());
  const absl::Time learned = MonotonicNow();
  for (size_t i = 0; i < 12; ++i) {
    EXPECT_EQ(Ask(i % kDaemons, kFirstPart).status, 200) << i;
  }
  JoinCallers();
  EXPECT_EQ(DeadlyArrivals(learned), 0);
  EXPECT_GE(held_back_, kDaemons);
}

// Guards against sends of requests that waited for a free engine at the
// verdict.
TEST_F(crashing_prompt_test, RequestsThatWaitReachNoEngine) {
  const std::string slow_part = "510";
  ASSERT_NO_FATAL_FAILURE(Start(
      [&](const raw_request& request) {
        const std::string prefix =
            platform_scene::Field(request, "prompt-prefix");
        return absl::StrContains(prefix, slow_part)
                   ? engine_act::serve_slowly
                   : CrashOnDeadlyPart(request);
      },
      /*prefills=*/1, /*slots=*/1));
  constexpr int kSlowStreams = kEngines - 2;
  for (int i = 0; i < kSlowStreams; ++i) Post(0, slow_part);
  absl::SleepFor(absl::Milliseconds(300));
  constexpr int kDeadlyStreams = 10;
  for (int i = 0; i < kDeadlyStreams; ++i) {
    Post(0, absl::StrCat(kFirstPart, ":20,", kDeadlyPart));
    absl::SleepFor(absl::Milliseconds(60));
  }
  ASSERT_TRUE(AllKnowThePart());
  const absl::Time learned = MonotonicNow();
  JoinCallers();
  EXPECT_EQ(DeadlyArrivals(learned), 0);
  EXPECT_GE(held_back_, kDeadlyStreams - kCrashesToLearn);
  EXPECT_EQ(statuses_[200], kSlowStreams);
}

// Guards against verdicts on engines that only close connections: they run on,
// and other streams at them with them.
TEST_F(crashing_prompt_test, BrokenConnectionsBlameNothing) {
  std::atomic<bool> resets = true;
  ASSERT_NO_FATAL_FAILURE(Start([&resets](const raw_request& request) {
    return resets && CrashOnDeadlyPart(request) == engine_act::crash
               ? engine_act::reset
               : engine_act::serve;
  }));
  for (size_t i = 0; i < 12; ++i) {
    Post(i % kDaemons, absl::StrCat(kFirstPart, ":20,", kDeadlyPart));
    absl::SleepFor(absl::Milliseconds(100));
  }
  JoinCallers();
  EXPECT_EQ(held_back_, 0);
  for (const auto& daemon : daemons_) EXPECT_EQ(Quarantined(*daemon), 0);
  resets = false;
  EXPECT_EQ(Ask(0, absl::StrCat(kFirstPart, ":20,", kDeadlyPart)).status, 200);
}

// Guards against a prompt that crashes one prefill engine after the other.
// Decode engines are sound and prefill it then.
TEST_F(crashing_prompt_test, PrefillEnginesAreSparedToo) {
  ASSERT_NO_FATAL_FAILURE(Start(
      [](const raw_request& request) {
        return CrashOnDeadlyPart(request) == engine_act::crash
                   ? engine_act::crash_prefill
                   : engine_act::serve;
      },
      /*prefills=*/8));
  CrashEngines();
  absl::SleepFor(kLearningTime);
  const int crashes = Crashes();
  for (size_t i = 0; i < 9; ++i) {
    const std::string parts = absl::StrCat(kFirstPart, ":20,", kDeadlyPart);
    EXPECT_EQ(Ask(i % kDaemons, parts).status, 200);
    EXPECT_EQ(Ask((i + 1) % kDaemons, kFirstPart).status, 200);
  }
  EXPECT_LE(Crashes() - crashes, kToleratedRequests);
  EXPECT_EQ(held_back_, 0);
}

// Guards against a quarantine that outlasts its cause: an operator lifts it at
// one daemon, and all of them serve again.
TEST_F(crashing_prompt_test, AnOperatorLiftsTheQuarantine) {
  std::atomic<bool> mended = false;
  ASSERT_NO_FATAL_FAILURE(Start([&mended](const raw_request& request) {
    return mended ? engine_act::serve : CrashOnDeadlyPart(request);
  }));
  const std::string parts = absl::StrCat(kFirstPart, ":20,", kDeadlyPart);
  CrashEngines();
  for (const auto& daemon : daemons_) {
    EXPECT_TRUE(Eventually(kBound, [&] { return Quarantined(*daemon) > 0; }));
  }
  const test_answer refused = Ask(0, parts);
  EXPECT_EQ(refused.status, 503);
  EXPECT_TRUE(absl::StrContains(refused.body, "prompt_quarantined"));
  EXPECT_NE(refused.Header("retry-after"), "");
  mended = true;
  const test_answer lifted = Delete(daemons_[0]->MetricsPort(),
                                    absl::StrCat("/quarantine/", kDeadlyPart));
  EXPECT_EQ(lifted.status, 200) << lifted.body;
  for (size_t i = 0; i < kDaemons; ++i) {
    EXPECT_TRUE(Eventually(kBound, [&] { return Ask(i, parts).status == 200; }))
        << i;
  }
}

}  // namespace
}  // namespace anvilridge
