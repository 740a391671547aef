#include <signal.h>

#include <QJsonArray>

#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
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
