// Daemons of a fleet while the platform's store comes back from an older copy:
// some read it for all, the others follow their reports.
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/clock.h"
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

constexpr size_t kDaemons = 5;
constexpr uint16_t kSharingPort = 17660;
constexpr absl::Duration kStartBound = absl::Seconds(10);
// Time after its confirmation by the store within which a change is in force,
// in the deployments that allow the least.
constexpr absl::Duration kApplyBound = absl::Seconds(2);
// Time for which the store is away.
constexpr absl::Duration kAwayTime = absl::Seconds(3);

void Wait(absl::Duration duration) {
  std::this_thread::sleep_for(absl::ToChronoMilliseconds(duration));
}

// A configuration that sends `/post/` to `service`.
std::string ConfigOf(int version, absl::string_view service) {
  return absl::StrCat(
      R"({"Version":)", version,
      R"(,"Routes":[{"Name":"post","Host":"a.example","PathPrefix":"/post/",)"
      R"("Kind":"unsafe","TimeoutMs":2000,"LatencyTargetMs":150,)"
      R"("Attempts":2,"Service":")",
      service,
      R"("}],"Services":[{"Name":"ledger","MaxConns":90},)"
      R"({"Name":"next","MaxConns":90}]})");
}

// One daemon of the fleet.
struct fleet_process {
  temp_folder folder;
  std::unique_ptr<child_process> process;
  uint16_t caller_port = 0;
  uint16_t ready_port = 0;

  // Starts the daemon, again perhaps, with `address` for its messages to
  // others.
  void Start(const std::string& address, const std::string& store) {
    caller_port = 0;
    ready_port = 0;
    folder.Write("fleet.ini",
                 absl::StrCat("[daemon]\nname = ", address,
                              "\nfailure_domain = z\n"
                              "[caller]\nlisten = 127.0.0.1:0\n"
                              "[readiness]\nlisten = 127.0.0.1:0\n"
                              "[metrics]\nlisten = 127.0.0.1:0\n"
                              "[sharing]\nlisten = ",
                              address, ":", kSharingPort,
                              "\n[budget]\nslack = 50\n[store]\naddress = ",
                              store, "\n[log]\ndestination = stdout\n"));
    process = std::make_unique<child_process>(
        "anvilridge_fleet",
        std::vector<std::string>{"--config", folder.File("fleet.ini")});
  }

  // Returns the events of the daemon's log named `name`.
  std::vector<QJsonObject> Events(const QString& name) const {
    std::vector<QJsonObject> events;
    for (absl::string_view line : absl::StrSplit(process->Out(), '\n')) {
      const QJsonObject event =
          QJsonDocument::fromJson(
              QByteArray(line.data(), static_cast<qsizetype>(line.size())))
              .object();
      if (event["event"] == name) events.push_back(event);
    }
    return events;
  }

  bool IsReady() {
    for (const QJsonObject& event : Events("started")) {
      caller_port = static_cast<uint16_t>(event["caller_port"].toInt());
      ready_port = static_cast<uint16_t>(event["readiness_port"].toInt());
    }
    return ready_port != 0 && Get(ready_port, "/readyz").status == 200;
  }

  int LastVersion() const {
    const auto events = Events("config_in_force");
    return events.empty() ? 0 : events.back()["version"].toInt();
  }
};

// What is written again behind the return, before what the test asks about.
struct regrowth {
  const char* name;
  // Further records; with some, the topics are longer than before at once.
  int records = 0;
  int returns = 1;

  friend void PrintTo(const regrowth& value, std::ostream* out) {
    *out << value.name;
  }
};

class store_return_test : public testing::TestWithParam<regrowth> {
 protected:
  void SetUp() override {
    EnsureTestApplication();
    RunAndWait(thread_.Context(), [this] {
      store_ = std::make_unique<store_standin>();
      for (auto* server : {&stays_, &leaves_, &next_}) {
        *server = std::make_unique<raw_server>(
            [](QTcpSocket& socket, const raw_request& request) {
              const std::string text =
                  absl::StrCat(platform_scene::Head(request, 200),
                               "Content-Length: 4\r\n\r\ndone");
              socket.write(text.data(), static_cast<qint64>(text.size()));
            });
      }
    });
    PutEngine("stays", "ledger", *stays_);
    PutEngine("leaves", "ledger", *leaves_);
    PutEngine("next", "next", *next_);
    store_->Put("keyed.op", "config", ConfigOf(1, "ledger"));
    absl::BitGen random;
    network_ = absl::StrCat("127.", absl::Uniform(random, 1, 250), ".",
                            absl::Uniform(random, 1, 250));
    for (size_t i = 0; i < kDaemons; ++i) {
      daemons_.push_back(std::make_unique<fleet_process>());
      StartDaemon(i);
    }
    for (const auto& daemon : daemons_) {
      ASSERT_TRUE(Eventually(kStartBound, [&] { return daemon->IsReady(); }));
    }
    // Some daemons follow the others.
    ASSERT_TRUE(Eventually(kStartBound, [this] {
      return std::any_of(daemons_.begin(), daemons_.end(),
                         [](const auto& daemon) {
                           return !daemon->Events("store_followed").empty();
                         });
    }));
    Wait(absl::Seconds(2));
  }

  void TearDown() override {
    daemons_.clear();
    RunAndWait(thread_.Context(), [this] {
      store_.reset();
      for (auto* server : {&stays_, &leaves_, &next_}) server->reset();
    });
  }

  void StartDaemon(size_t index) {
    daemons_[index]->Start(absl::StrCat(network_, ".", index + 1),
                           store_->Address());
  }

  // Returns whether `version` is in force at all daemons.
  bool IsInForce(int version) const {
    return std::all_of(daemons_.begin(), daemons_.end(),
                       [version](const auto& daemon) {
                         return daemon->LastVersion() == version;
                       });
  }

  void PutEngine(const std::string& id, const std::string& service,
                 const raw_server& server, const std::string& state = "ready",
                 int cold_ms = 0) {
    store_->Put(
        "keyed.servers", id,
        absl::StrCat(R"({"Service":")", service, R"(","Addr":")",
                     server.Address(), R"(","Zone":"z","Slots":64,"State":")",
                     state, R"(","ColdLeftMs":)", cold_ms,
                     R"(,"born":1,"Seq":0})"));
  }

  // Lets the store come back from its copy, and writes what the engines and the
  // operator had written: their newest records.
  void Return(const std::function<void()>& write_again) {
    store_->SetUp(false);
    Wait(kAwayTime);
    for (int i = 0; i < GetParam().returns; ++i) {
      if (i > 0) Wait(absl::Milliseconds(700));
      store_->ReturnFromCopy();
      write_again();
      for (int j = 0; j < GetParam().records; ++j) {
        for (const char* topic : {"keyed.servers", "keyed.op"}) {
          store_->Put(topic, "other", absl::StrCat(j));
        }
      }
      store_->SetUp(true);
    }
  }

  // Sends a few postings to each daemon, and expects that all are done.
  void PostToAll() {
    for (const auto& daemon : daemons_) {
      for (int i = 0; i < 8; ++i) {
        test_request request;
        request.method = "POST";
        request.port = daemon->caller_port;
        request.target = "/post/1";
        request.headers = {{"Host", "a.example"},
                           {"Request-Id", absl::StrCat("q", ++requests_)},
                           {"Deadline-Ms", "1000"}};
        request.body = "fee";
        EXPECT_EQ(Send(request).status, 200);
      }
    }
  }

  size_t RequestsAt(const std::unique_ptr<raw_server>& server) {
    size_t count = 0;
    RunAndWait(thread_.Context(), [&] { count = server->Requests().size(); });
    return count;
  }

  event_thread thread_{"scene"};
  std::unique_ptr<store_standin> store_;
  // Services at the start: `stays` and `leaves` are of the same one.
  std::unique_ptr<raw_server> stays_;
  std::unique_ptr<raw_server> leaves_;
  std::unique_ptr<raw_server> next_;
  // First part of the daemons' addresses.
  std::string network_;
  std::vector<std::unique_ptr<fleet_process>> daemons_;
  int requests_ = 0;
};

// Guards against requests to an engine that has said that it leaves, behind a
// return of the store: its record had a lower offset than one known before, or
// was never read.
TEST_P(store_return_test, AnEngineThatLeavesGetsNothingLate) {
  store_->TakeCopy();
  for (int cold_ms = 3000; cold_ms >= 0; cold_ms -= 1000) {
    PutEngine("leaves", "ledger", *leaves_, "ready", cold_ms);
    Wait(absl::Milliseconds(400));
  }
  PostToAll();
  EXPECT_GT(RequestsAt(leaves_), 0u);
  Return([this] { PutEngine("leaves", "ledger", *leaves_, "draining"); });
  Wait(kApplyBound);
  const size_t before = RequestsAt(leaves_);
  PostToAll();
  EXPECT_EQ(RequestsAt(leaves_), before);
  // Within the new era its records are applied as always.
  PutEngine("leaves", "ledger", *leaves_);
  Wait(kApplyBound);
  PostToAll();
  const size_t used = RequestsAt(leaves_);
  EXPECT_GT(used, before);
  PutEngine("leaves", "ledger", *leaves_, "draining");
  Wait(kApplyBound);
  PostToAll();
  EXPECT_EQ(RequestsAt(leaves_), used);
}

// Guards against daemons that keep to an old configuration behind a return of
// the store, as the newer one has a lower offset than they know.
TEST_P(store_return_test, ANewConfigurationIsInForceEverywhere) {
  store_->TakeCopy();
  int version = 1;
  for (int i = 0; i < 6; ++i) {
    store_->Put("keyed.op", "config", ConfigOf(++version, "ledger"));
    Wait(absl::Milliseconds(330));
  }
  Wait(absl::Milliseconds(700));
  Return(
      [&] { store_->Put("keyed.op", "config", ConfigOf(version, "ledger")); });
  Wait(absl::Seconds(3));
  store_->Put("keyed.op", "config", ConfigOf(++version, "next"));
  EXPECT_TRUE(Eventually(kApplyBound, [&] { return IsInForce(version); }));
  Wait(absl::Milliseconds(300));
  const size_t before = RequestsAt(stays_) + RequestsAt(leaves_);
  PostToAll();
  EXPECT_EQ(RequestsAt(stays_) + RequestsAt(leaves_), before);
  for (const auto& daemon : daemons_) {
    // Each topic and the group have noticed each return that they met, once.
    EXPECT_LE(daemon->Events("store_era_began").size(),
              3u * static_cast<size_t>(GetParam().returns));
    EXPECT_GE(daemon->Events("store_era_began").size(), 3u);
  }
}

// Guards against daemons that learn of a return late and keep what they knew:
// two are frozen meanwhile, and one starts behind it.
TEST_P(store_return_test, DaemonsThatMissTheReturnAgreeToo) {
  store_->TakeCopy();
  int version = 1;
  for (int i = 0; i < 6; ++i) {
    store_->Put("keyed.op", "config", ConfigOf(++version, "ledger"));
    PutEngine("leaves", "ledger", *leaves_, "ready", 1000 * i);
  }
  ASSERT_TRUE(Eventually(kApplyBound, [&] { return IsInForce(version); }));
  daemons_[0]->process->Freeze();
  daemons_[1]->process->Freeze();
  daemons_[2]->process->Kill();
  Return([&] {
    store_->Put("keyed.op", "config", ConfigOf(version, "ledger"));
    PutEngine("leaves", "ledger", *leaves_, "draining");
  });
  StartDaemon(2);
  Wait(absl::Seconds(1));
  daemons_[0]->process->Thaw();
  daemons_[1]->process->Thaw();
  Wait(absl::Seconds(3));
  ASSERT_TRUE(Eventually(kStartBound, [&] { return daemons_[2]->IsReady(); }));
  const size_t before = RequestsAt(leaves_);
  PostToAll();
  EXPECT_EQ(RequestsAt(leaves_), before);
  store_->Put("keyed.op", "config", ConfigOf(++version, "next"));
  EXPECT_TRUE(Eventually(kApplyBound, [&] { return IsInForce(version); }));
}

INSTANTIATE_TEST_SUITE_P(returns, store_return_test,
                         testing::Values(regrowth{"Shorter"},
                                         regrowth{"Longer", 20},
                                         regrowth{"Twice", 3, 2}),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

}  // namespace
}  // namespace anvilridge
