#include "admission/limit_home.h"

#include "admission/limit_share.h"
#include "base/error_kind.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::UnixEpoch();
// From this time on, the leases of an earlier home have expired.
const absl::Time kEstablished = kStart + kPermitLease;
constexpr int kDaemons = 4;

team_config Team(double rate, int concurrency) {
  team_config team;
  team.name = "choir";
  team.rate = rate;
  team.concurrency = concurrency;
  return team;
}

// Returns the ledger of a home that began to lend at `kStart`.
limit_ledger EstablishedLedger() {
  limit_ledger ledger;
  ledger.lending_since = kStart;
  return ledger;
}

TEST(limit_home_test, PermitsOfAllDaemonsStayWithinTheLimit) {
  limit_ledger ledger = EstablishedLedger();
  const team_config team = Team(0, 3);
  EXPECT_EQ(Lend(ledger, team, {"a:1", 2, 0}, kDaemons, kEstablished).permits,
            2);
  EXPECT_EQ(Lend(ledger, team, {"b:1", 2, 0}, kDaemons, kEstablished).permits,
            1);
  EXPECT_EQ(Lend(ledger, team, {"c:1", 1, 0}, kDaemons, kEstablished).permits,
            0);
  EXPECT_EQ(Lend(ledger, team, {"a:1", 0, 0}, kDaemons, kEstablished).permits,
            0);
  EXPECT_EQ(Lend(ledger, team, {"c:1", 1, 0}, kDaemons, kEstablished).permits,
            1);
}

TEST(limit_home_test, LeasesOfACrashedDaemonExpire) {
  limit_ledger ledger = EstablishedLedger();
  const team_config team = Team(0, 2);
  EXPECT_EQ(Lend(ledger, team, {"a:1", 2, 0}, kDaemons, kEstablished).permits,
            2);
  const absl::Time before = kEstablished + kPermitLease - absl::Seconds(1);
  EXPECT_EQ(Lend(ledger, team, {"b:1", 2, 0}, kDaemons, before).permits, 0);
  const absl::Time after = kEstablished + kPermitLease;
  EXPECT_EQ(Lend(ledger, team, {"b:1", 2, 0}, kDaemons, after).permits, 2);
}

TEST(limit_home_test, NewHomeLendsEvenPartsUntilEarlierLeasesExpire) {
  limit_ledger ledger;
  const team_config team = Team(0, 8);
  EXPECT_EQ(Lend(ledger, team, {"a:1", 8, 0}, kDaemons, kStart).permits, 2);
  EXPECT_EQ(Lend(ledger, team, {"a:1", 8, 0}, kDaemons, kEstablished).permits,
            8);
}

TEST(limit_home_test, LentTokensMatchTheRateAndRepliesGiveARetryTime) {
  limit_ledger ledger = EstablishedLedger();
  const team_config team = Team(4, 0);
  int lent = 0;
  for (int i = 0; i <= 100; ++i) {
    const absl::Time now = kEstablished + absl::Milliseconds(100 * i);
    for (const char* owner : {"a:1", "b:1"}) {
      lent += Lend(ledger, team, {owner, 0, 3}, kDaemons, now).tokens;
    }
  }
  EXPECT_LE(lent, 41);
  EXPECT_GE(lent, 39);
  const absl::Time end = kEstablished + absl::Seconds(10);
  const borrow_reply reply = Lend(ledger, team, {"a:1", 0, 1}, kDaemons, end);
  EXPECT_EQ(reply.tokens, 0);
  EXPECT_GT(reply.retry_after, absl::ZeroDuration());
  EXPECT_LE(reply.retry_after, absl::Milliseconds(250));
}

TEST(limit_share_test, StartsWithLentPermitsAndRequestsMissingOnes) {
  limit_share share;
  const team_config team = Team(0, 3);
  EXPECT_FALSE(CanStart(share, team, kStart));
  share.waiting = 1;
  const borrow_request request =
      MakeBorrowRequest(share, team, "a:1", kDaemons);
  EXPECT_EQ(request.permits, 1);
  ApplyBorrowReply(share, {1, 0, {}}, kStart);
  EXPECT_TRUE(CanStart(share, team, kStart));
  RecordStart(share, team);
  EXPECT_FALSE(CanStart(share, team, kStart));
  EXPECT_EQ(KindOf(MakeLimitError(share, team, {}, kStart)),
            error_kind::concurrency_limited);
}

TEST(limit_share_test, ExpiredPermitsAllowNoStart) {
  limit_share share;
  const team_config team = Team(0, 3);
  ApplyBorrowReply(share, {2, 0, {}}, kStart);
  EXPECT_TRUE(CanStart(share, team, kStart));
  EXPECT_FALSE(CanStart(share, team, kStart + kPermitLease));
}

TEST(limit_share_test, IdleTeamsReturnTheirPermitsAndAreRemoved) {
  limit_shares shares;
  const team_config team = Team(0, 3);
  limit_share& share = shares.teams["choir"];
  ApplyBorrowReply(share, {2, 0, {}}, kStart);
  RecordStart(share, team);
  RecordEnd(shares, "choir");
  EXPECT_EQ(CollectTeamsToRenew(shares), std::vector<std::string>{"choir"});
  EXPECT_EQ(MakeBorrowRequest(share, team, "a:1", kDaemons).permits, 0);
  ApplyBorrowReply(share, {0, 0, {}}, kStart);
  EXPECT_TRUE(CollectTeamsToRenew(shares).empty());
  EXPECT_TRUE(shares.teams.empty());
}

}  // namespace
}  // namespace anvilridge
