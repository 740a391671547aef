#include <signal.h>

#include <QJsonArray>
#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/ledger.h"
#include "harness/operator_line.h"

namespace anvilridge {
namespace {

// The users' target for a change to be in force everywhere.
constexpr absl::Duration kInForceBound = absl::Seconds(9);

fleet_options FourDaemons() {
  fleet_options options;
  options.daemons = 4;
  return options;
}

int WeightAt(const fleet_daemon& daemon) {
  const QJsonObject row = FirstRow(daemon, "show teams where name=choir");
  return row["weight"].toString().toInt();
}

bool WeightEverywhere(const fleet& fleet, int weight) {
  for (const fleet_daemon& daemon : fleet.daemons) {
    if (daemon.process->Running() && WeightAt(daemon) != weight) return false;
  }
  return true;
}

test_answer SetWeight(const fleet_daemon& daemon, int weight) {
  return GiveCommand(daemon,
                     "change team choir weight=" + std::to_string(weight) +
                         " because \"season\"");
}

// Watches the offset that each daemon says it has in force.
class offset_watch {
 public:
  explicit offset_watch(const fleet& watched) : fleet_(watched) {}

  // Fails the test when a daemon has gone back, also over its restarts.
  void Sample() {
    for (const fleet_daemon& daemon : fleet_.daemons) {
      if (!daemon.process->Running()) continue;
      const QJsonObject row =
          FirstRow(daemon, "show daemons where name=" + daemon.name);
      const int64_t offset = row["config_offset"].toInteger();
      // None yet, after a start.
      if (offset == 0) continue;
      int64_t& highest = highest_[daemon.name];
      EXPECT_GE(offset, highest) << daemon.name;
      highest = std::max(highest, offset);
      ++samples_;
    }
  }

  // As `Eventually`, sampling all the while.
  bool Eventually(const std::function<bool()>& predicate) {
    return anvilridge::Eventually(kInForceBound, [&] {
      Sample();
      return predicate();
    });
  }

  int Samples() const { return samples_; }

 private:
  const fleet& fleet_;
  std::map<std::string, int64_t> highest_;
  int samples_ = 0;
};

// Balance lookups through one daemon until destroyed.
class load {
 public:
  explicit load(const fleet& on, size_t daemon)
      : worker_(std::async(
            std::launch::async,
            [this, port = on.daemons[daemon].caller, headers = on.Caller()] {
              while (!stop_) {
                const int status = Get(port, kBalancePath, headers).status;
                ++(status == 200 ? answered_ : failed_);
              }
            })) {}
  ~load() { Stop(); }
  load(const load&) = delete;
  load& operator=(const load&) = delete;

  void Stop() {
    stop_ = true;
    if (worker_.valid()) worker_.get();
  }

  int Answered() const { return answered_; }
  int Failed() const { return failed_; }

 private:
  std::atomic<bool> stop_ = false;
  std::atomic<int> answered_ = 0;
  std::atomic<int> failed_ = 0;
  std::future<void> worker_;
};

TEST(config_in_force_test, HoldsUnderLoadWithOneDaemonKilledInTurn) {
  fleet_options options = FourDaemons();
  options.services = 2;
  fleet fleet(options);
  offset_watch watch(fleet);
  load first(fleet, 0);
  load second(fleet, 1);
  for (int weight = 2; weight < 6; ++weight) {
    // The killed one misses the change, and has it when it is back.
    fleet.daemons[2].process->Kill();
    ASSERT_EQ(SetWeight(fleet.daemons[weight % 2], weight).status, 200);
    EXPECT_TRUE(
        watch.Eventually([&] { return WeightEverywhere(fleet, weight); }));
    fleet.RestartDaemon(2);
    EXPECT_TRUE(
        watch.Eventually([&] { return WeightEverywhere(fleet, weight); }));
  }
  first.Stop();
  second.Stop();
  EXPECT_GT(first.Answered(), 0);
  EXPECT_EQ(first.Failed() + second.Failed(), 0);
}

struct race_answers {
  int64_t offset = 0;
  int accepted = 0;
  int contested = 0;
  int weight = 0;
};

// Two operators change one team through different daemons at once, both
// against the version that they have seen.
race_answers Race(const fleet& fleet, const std::string& team,
                  int64_t version) {
  std::vector<std::future<test_answer>> answers;
  answers.reserve(2);
  for (int i = 0; i < 2; ++i) {
    answers.push_back(std::async(std::launch::async, [&, i] {
      return GiveCommand(
          fleet.daemons[i],
          absl::StrCat("change team ", team, " weight=", i + 2, " against ",
                       version, " because \"race\""),
          i == 0 ? "ana" : "ivo");
    }));
  }
  race_answers result;
  for (int i = 0; i < 2; ++i) {
    const test_answer answer = answers[i].get();
    if (answer.status == 200) {
      ++result.accepted;
      result.weight = i + 2;
      result.offset = answer.Json()["offset"].toInteger();
    }
    if (answer.status == 409) ++result.contested;
  }
  return result;
}

TEST(config_in_force_test, OneOfEachPairOfRacingOperatorsIsAccepted) {
  constexpr int kTeams = 12;
  fleet fleet(FourDaemons());
  offset_watch watch(fleet);
  std::vector<std::future<race_answers>> races;
  std::vector<std::string> teams;
  // The races read their names while later ones are added.
  teams.reserve(kTeams);
  for (int i = 0; i < kTeams; ++i) {
    teams.push_back(absl::StrCat("team-", i));
    const int64_t version = fleet.Append(
        Command(command_verb::create, object_kind::team, teams.back(), {}));
    ASSERT_TRUE(watch.Eventually([&] {
      return FirstRow(fleet.daemons[0], "show teams where name=" + teams[i])
                 .contains("name") &&
             FirstRow(fleet.daemons[1], "show teams where name=" + teams[i])
                 .contains("name");
    }));
    races.push_back(std::async(std::launch::async, [&, i, version] {
      return Race(fleet, teams[i], version);
    }));
  }
  for (int i = 0; i < kTeams; ++i) {
    const race_answers race = races[i].get();
    EXPECT_EQ(race.accepted, 1) << teams[i];
    EXPECT_EQ(race.contested, 1) << teams[i];
    for (const fleet_daemon& daemon : fleet.daemons) {
      EXPECT_TRUE(watch.Eventually([&] {
        const QJsonObject row =
            FirstRow(daemon, "show teams where name=" + teams[i]);
        return row["weight"].toString().toInt() == race.weight &&
               row["version"].toInteger() == race.offset;
      })) << daemon.name
          << " " << teams[i];
    }
  }
}

TEST(config_in_force_test, OldRecordsExpireBehindASnapshot) {
  // More than the records after which a snapshot is due.
  constexpr int kKept = 300;
  constexpr int kChanges = 500;
  fleet_options options = FourDaemons();
  options.platform_options = {absl::StrCat("--max-records=", kKept),
                              "--appends-per-second=100000"};
  fleet fleet(options);
  offset_watch watch(fleet);
  const auto config_log = [&](const char* stream) {
    return Get(fleet.platform.port,
               absl::StrCat("/log/", stream, "?from=1&limit=1"))
        .Json();
  };
  int64_t version = FirstRow(fleet.daemons[0], "show teams where name=choir")
                        .value("version")
                        .toInteger();
  for (int i = 1; i <= kChanges; ++i) {
    config_command change = Command(command_verb::change, object_kind::team,
                                    "choir", {{"weight", absl::StrCat(i)}});
    change.base_version = version;
    version = fleet.Append(change);
    // The log is followed while it grows, as operators are no faster.
    if (i % 100 == 0) {
      ASSERT_TRUE(watch.Eventually([&] { return WeightEverywhere(fleet, i); }));
      ASSERT_TRUE(watch.Eventually([&] {
        return i < 2 * 100 ||
               config_log("config-snapshots")["next"].toInt() > 1;
      }));
    }
  }
  EXPECT_GT(config_log("config")["oldest"].toInt(), 1);
  for (size_t i = 0; i < fleet.daemons.size(); ++i) {
    fleet.daemons[i].process->Kill();
    fleet.RestartDaemon(i);
    EXPECT_TRUE(
        watch.Eventually([&] { return WeightEverywhere(fleet, kChanges); }));
  }
  // Without any peer: from the log alone.
  for (fleet_daemon& daemon : fleet.daemons) daemon.process->Kill();
  fleet.RestartDaemon(3);
  EXPECT_TRUE(watch.Eventually([&] {
    return WeightEverywhere(fleet, kChanges);
  })) << fleet.daemons[3].process->Err();
}

TEST(config_in_force_test, NewDaemonStartsInAnOutageFromItsPeers) {
  fleet fleet(FourDaemons());
  offset_watch watch(fleet);
  ASSERT_EQ(SetWeight(fleet.daemons[0], 4).status, 200);
  SetFault(fleet.platform.port, "outage");
  fleet.AddDaemon();
  EXPECT_TRUE(watch.Eventually([&] { return fleet.daemons.back().Ready(); }));
  EXPECT_EQ(WeightAt(fleet.daemons.back()), 4);
  ClearFaults(fleet.platform.port);
  ASSERT_EQ(SetWeight(fleet.daemons.back(), 5).status, 200);
  EXPECT_TRUE(watch.Eventually([&] { return WeightEverywhere(fleet, 5); }));
}

TEST(config_in_force_test, HoldsWithOneDaemonKilled) {
  fleet fleet(FourDaemons());
  fleet.daemons[2].process->Kill();
  ASSERT_EQ(SetWeight(fleet.daemons[0], 4).status, 200);
  EXPECT_TRUE(
      Eventually(kInForceBound, [&] { return WeightEverywhere(fleet, 4); }));
}

TEST(config_in_force_test, OutageRightAfterTheAcceptanceHidesNothing) {
  fleet fleet(FourDaemons());
  ASSERT_EQ(SetWeight(fleet.daemons[0], 4).status, 200);
  SetFault(fleet.platform.port, "outage");
  EXPECT_TRUE(
      Eventually(kInForceBound, [&] { return WeightEverywhere(fleet, 4); }));
  fleet.daemons[0].process->Kill();
  fleet.RestartDaemon(0);
  EXPECT_TRUE(
      Eventually(kInForceBound, [&] { return fleet.daemons[0].Ready(); }));
  EXPECT_EQ(WeightAt(fleet.daemons[0]), 4);
}

TEST(config_in_force_test, NeverRevertsWhenEveryDaemonRestartsInTurn) {
  fleet fleet(FourDaemons());
  ASSERT_EQ(SetWeight(fleet.daemons[0], 4).status, 200);
  for (size_t i = 0; i < fleet.daemons.size(); ++i) {
    fleet.daemons[i].process->Kill();
    fleet.RestartDaemon(i);
    ASSERT_TRUE(
        Eventually(kInForceBound, [&] { return fleet.daemons[i].Ready(); }));
    EXPECT_EQ(WeightAt(fleet.daemons[i]), 4) << i;
  }
}

TEST(config_in_force_test, StartInAnOutageWithoutPeersIsNotReady) {
  fleet fleet;
  SetFault(fleet.platform.port, "outage");
  for (fleet_daemon& daemon : fleet.daemons) daemon.process->Kill();
  fleet.RestartDaemon(0);
  EXPECT_EQ(Get(fleet.daemons[0].metrics, "/healthz").status, 200);
  const test_answer ready = Get(fleet.daemons[0].metrics, "/readyz");
  EXPECT_EQ(ready.status, 503);
  const test_answer refused = Post(fleet.daemons[0].caller, "/v1/completions",
                                   fleet::Completion("x", 2), fleet.Caller());
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(refused.Json()["ran"].toString(), "not_run");
  ClearFaults(fleet.platform.port);
  EXPECT_TRUE(fleet.WaitReady(kInForceBound));
}

TEST(config_in_force_test, HalfReadLogDoesNotGoIntoForce) {
  fleet fleet(FourDaemons());
  ASSERT_EQ(SetWeight(fleet.daemons[0], 4).status, 200);
  SetFault(fleet.platform.port, "half_page");
  fleet.daemons[1].process->Kill();
  fleet.RestartDaemon(1);
  EXPECT_TRUE(
      Eventually(kInForceBound, [&] { return fleet.daemons[1].Ready(); }));
  EXPECT_EQ(WeightAt(fleet.daemons[1]), 4);
}

TEST(config_in_force_test, LostAnswerIsSettledByReadingBack) {
  fleet fleet(FourDaemons());
  SetFault(fleet.platform.port, "lose_answer_after_effect", {{"count", 1}});
  const test_answer answer = SetWeight(fleet.daemons[0], 4);
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_TRUE(
      Eventually(kInForceBound, [&] { return WeightEverywhere(fleet, 4); }));
  const QJsonArray history = AskQuery(fleet.daemons[1], "history of team choir")
                                 .Json()["rows"]
                                 .toArray();
  EXPECT_EQ(history.size(), 2);
}

}  // namespace
}  // namespace anvilridge
