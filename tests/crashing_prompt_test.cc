// Prompts that crash engines, over several daemons as processes and engines
// that end and come back as other instances.
#include <QJsonDocument>
#include <QJsonObject>
#include <QPointer>
#include <QUdpSocket>
#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
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
constexpr int kEngines = 8;
// Time for which an engine that has crashed is away.
constexpr absl::Duration kRestart = absl::Milliseconds(1000);
constexpr absl::Duration kEventGap = absl::Milliseconds(10);
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

// What an engine does with a request for whose prompt it begins to write.
enum class engine_act { serve, crash, reset };
using act_choice = std::function<engine_act(const raw_request&)>;

// One engine behind a changing port. Lives on the thread of the scene.
class test_engine {
 public:
  test_engine(int number, std::string stage, store_standin& store,
              act_choice choose)
      : number_(number),
        stage_(std::move(stage)),
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
                     R"(","Zone":"z","Slots":12,"State":"ready",)",
                     R"("Stage":")", stage_, R"(","Seq":0})"));
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
    if (stage_ == "prefill") {
      return Respond(socket, request, R"({"Handle":"h1","Tokens":100})");
    }
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
               NextEvent(to, next);
             });
  }

  void NextEvent(const QPointer<QTcpSocket>& socket, int number) {
    if (!socket) return;
    if (number > kEvents) return Write(*socket, "0\r\n\r\n");
    platform_scene::Events(*socket, number, number);
    RunAfter(&context_, kEventGap,
             [this, socket, number] { NextEvent(socket, number + 1); });
  }

  const int number_;
  const std::string stage_;
  store_standin& store_;
  const act_choice choose_;
  int starts_ = 0;
  QObject context_;
  std::unique_ptr<raw_server> server_;
};

// A daemon as a process.
class test_daemon {
 public:
  test_daemon(int number, const std::string& store) {
    QUdpSocket port;
    port.bind(QHostAddress::LocalHost);
    folder_.Write("fleet.ini",
                  absl::StrCat("[daemon]\nname = entry-", number,
                               "\nfailure_domain = z\n"
                               "[caller]\nlisten = 127.0.0.1:0\n"
                               "[readiness]\nlisten = 127.0.0.1:0\n"
                               "[metrics]\nlisten = 127.0.0.1:0\n"
                               "[sharing]\nlisten = 127.0.0.1:",
                               port.localPort(), "\n[budget]\nslack = 100\n",
                               "[store]\naddress = ", store,
                               "\n[log]\ndestination = stdout\n"));
    port.close();
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
    for (std::thread& caller : callers_) caller.join();
    daemons_.clear();
    RunAndWait(thread_->Context(), [this] {
      engines_.clear();
      store_.reset();
    });
  }

  // Starts engines that do with each request what `choose` says, and daemons.
  void Start(const act_choice& choose) {
    EnsureTestApplication();
    thread_ = std::make_unique<event_thread>("engines");
    RunAndWait(thread_->Context(), [&] {
      store_ = std::make_unique<store_standin>();
      store_->Put("keyed.op", "config", kConfig);
      engines_.push_back(
          std::make_unique<test_engine>(0, "prefill", *store_, choose));
      for (int i = 1; i <= kEngines; ++i) {
        engines_.push_back(
            std::make_unique<test_engine>(i, "decode", *store_, choose));
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
    request.headers = {
        {"Host", "a.example"},
        {"Request-Id", absl::StrCat("q", number)},
        {"Token-Count", "100,12"},
        {"Deadline-Ms", "4000"},
        {"Prompt-Prefix",
         absl::StrCat(parts, ":50,", absl::Hex(number + 0x10000), ":50")}};
    return Send(request);
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

  // Sends requests with the deadly part, each to another daemon, until enough
  // engines have crashed to learn the part.
  void CrashEngines() {
    for (size_t i = 0; Crashes() < kCrashesToLearn && i < 10; ++i) {
      Post(i % kDaemons, absl::StrCat(kFirstPart, ":20,", kDeadlyPart));
      absl::SleepFor(absl::Milliseconds(300));
    }
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
  for (std::thread& caller : callers_) caller.join();
  callers_.clear();
  EXPECT_LE(DeadlyArrivals(learned), kToleratedRequests);
  EXPECT_LE(Crashes() - crashes, kToleratedRequests);
  EXPECT_EQ(sound, 12);
}

}  // namespace
}  // namespace anvilridge
