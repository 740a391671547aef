#include "admission/team_limits.h"

#include "base/error_kind.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::UnixEpoch();

team_config Team(double rate, int concurrency) {
  team_config team;
  team.name = "choir";
  team.rate = rate;
  team.concurrency = concurrency;
  return team;
}

TEST(team_limits_test, ConcurrencyIsSharedByLiveDaemons) {
  team_limits limits;
  const team_config team = Team(0, 8);
  EXPECT_TRUE(EnterTeam(limits, team, 4, kStart).ok());
  EXPECT_TRUE(EnterTeam(limits, team, 4, kStart).ok());
  const absl::Status third = EnterTeam(limits, team, 4, kStart);
  EXPECT_EQ(KindOf(third), error_kind::concurrency_limited);
  EXPECT_TRUE(EnterTeam(limits, team, 2, kStart).ok());
  LeaveTeam(limits, "choir");
  LeaveTeam(limits, "choir");
  EXPECT_TRUE(EnterTeam(limits, team, 4, kStart).ok());
}

TEST(team_limits_test, RateRefillsAndNamesTheTimeToComeBack) {
  team_limits limits;
  const team_config team = Team(4, 0);
  int admitted = 0;
  while (EnterTeam(limits, team, 4, kStart).ok()) ++admitted;
  EXPECT_EQ(admitted, 2);
  const absl::Status refused = EnterTeam(limits, team, 4, kStart);
  EXPECT_EQ(KindOf(refused), error_kind::rate_limited);
  EXPECT_EQ(RetryAfterOf(refused), absl::Seconds(1));
  EXPECT_TRUE(EnterTeam(limits, team, 4, kStart + absl::Seconds(1)).ok());
}

}  // namespace
}  // namespace anvilridge
