#include "admission/limit_home.h"

#include "admission/limit_share.h"
#include "base/error_kind.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::UnixEpoch();
const absl::Time kWarm = kStart + kUnitLease;
constexpr int kDaemons = 4;

team_config Team(double rate, int concurrency) {
  team_config team;
  team.name = "choir";
  team.rate = rate;
  team.concurrency = concurrency;
  return team;
}

limit_ledger WarmLedger() {
  limit_ledger ledger;
  ledger.opened = kStart;
  return ledger;
}

TEST(limit_home_test, AllDaemonsTogetherNeverHoldMoreThanTheLimit) {
  limit_ledger ledger = WarmLedger();
  const team_config team = Team(0, 3);
  EXPECT_EQ(Lend(ledger, team, {"a:1", 2, 0}, kDaemons, kWarm).units, 2);
  EXPECT_EQ(Lend(ledger, team, {"b:1", 2, 0}, kDaemons, kWarm).units, 1);
  EXPECT_EQ(Lend(ledger, team, {"c:1", 1, 0}, kDaemons, kWarm).units, 0);
  EXPECT_EQ(Lend(ledger, team, {"a:1", 0, 0}, kDaemons, kWarm).units, 0);
  EXPECT_EQ(Lend(ledger, team, {"c:1", 1, 0}, kDaemons, kWarm).units, 1);
}

TEST(limit_home_test, LoansOfADaemonThatDiedLapse) {
  limit_ledger ledger = WarmLedger();
  const team_config team = Team(0, 2);
  EXPECT_EQ(Lend(ledger, team, {"a:1", 2, 0}, kDaemons, kWarm).units, 2);
  const absl::Time before = kWarm + kUnitLease - absl::Seconds(1);
  EXPECT_EQ(Lend(ledger, team, {"b:1", 2, 0}, kDaemons, before).units, 0);
  const absl::Time after = kWarm + kUnitLease;
  EXPECT_EQ(Lend(ledger, team, {"b:1", 2, 0}, kDaemons, after).units, 2);
}

TEST(limit_home_test, NewHomeLendsAFairPartUntilOldLoansHaveLapsed) {
  limit_ledger ledger;
  const team_config team = Team(0, 8);
  EXPECT_EQ(Lend(ledger, team, {"a:1", 8, 0}, kDaemons, kStart).units, 2);
  EXPECT_EQ(Lend(ledger, team, {"a:1", 8, 0}, kDaemons, kWarm).units, 8);
}

TEST(limit_home_test, RateIsLentOnceOverAllDaemonsAndNamesTheWait) {
  limit_ledger ledger = WarmLedger();
  const team_config team = Team(4, 0);
  int lent = 0;
  for (int tenth = 0; tenth <= 100; ++tenth) {
    const absl::Time now = kWarm + absl::Milliseconds(100 * tenth);
    for (const char* owner : {"a:1", "b:1"}) {
      lent += Lend(ledger, team, {owner, 0, 3}, kDaemons, now).tokens;
    }
  }
  EXPECT_LE(lent, 41);
  EXPECT_GE(lent, 39);
  const absl::Time end = kWarm + absl::Seconds(10);
  const borrow_answer none = Lend(ledger, team, {"a:1", 0, 1}, kDaemons, end);
  EXPECT_EQ(none.tokens, 0);
  EXPECT_GT(none.retry_in, absl::ZeroDuration());
  EXPECT_LE(none.retry_in, absl::Milliseconds(250));
}

TEST(limit_share_test, StartsOnWhatIsLentAndAsksForTheRest) {
  limit_share share;
  const team_config team = Team(0, 3);
  EXPECT_FALSE(MayStart(share, team, kStart));
  share.waiting = 1;
  const borrow_ask ask = AskFor(share, team, "a:1", kDaemons);
  EXPECT_EQ(ask.units, 1);
  TakeLoan(share, {1, 0, {}}, kStart);
  EXPECT_TRUE(MayStart(share, team, kStart));
  StartOne(share, team);
  EXPECT_FALSE(MayStart(share, team, kStart));
  EXPECT_EQ(KindOf(RefusalFor(share, team, {}, kStart)),
            error_kind::concurrency_limited);
}

TEST(limit_share_test, LoanThatWasNotRenewedStartsNothing) {
  limit_share share;
  const team_config team = Team(0, 3);
  TakeLoan(share, {2, 0, {}}, kStart);
  EXPECT_TRUE(MayStart(share, team, kStart));
  EXPECT_FALSE(MayStart(share, team, kStart + kUnitLease));
}

TEST(limit_share_test, IdleLoansAreGivenBackAndForgotten) {
  limit_shares shares;
  const team_config team = Team(0, 3);
  limit_share& share = shares.teams["choir"];
  TakeLoan(share, {2, 0, {}}, kStart);
  StartOne(share, team);
  EndOne(shares, "choir");
  EXPECT_EQ(TeamsToRenew(shares), std::vector<std::string>{"choir"});
  EXPECT_EQ(AskFor(share, team, "a:1", kDaemons).units, 0);
  TakeLoan(share, {0, 0, {}}, kStart);
  EXPECT_TRUE(TeamsToRenew(shares).empty());
  EXPECT_TRUE(shares.teams.empty());
}

}  // namespace
}  // namespace anvilridge
