#include "fleet/group_member.h"

#include <map>
#include <tuple>

#include "base/clock.h"
#include "base/testing/run_loop.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kLease = absl::Milliseconds(300);

// Runs a member against a store whose replies the test sets.
class group_member_test : public event_loop_test {
 protected:
  group_member_test()
      : member_("10.0.0.1:7660", kLease, Calls(),
                [this](const std::vector<std::string>& members) {
                  members_ = members;
                }) {}

  group_calls Calls() {
    group_calls calls;
    calls.join = [this](const std::string&, int64_t generation, absl::Duration,
                        auto done) {
      ++join_calls_;
      last_generation_ = generation;
      if (store_unavailable_) return done(absl::UnavailableError("away"));
      done(join_reply_);
    };
    calls.owners = [this](auto done) {
      ++owners_calls_;
      done(std::vector<std::string>{"10.0.0.1:7660", "10.0.0.2:7660"});
    };
    calls.leave = [this](const std::string&) { left_ = true; };
    return calls;
  }

  bool HoldsOrderRight() {
    return member_.OrderRight(MonotonicNow()).has_value();
  }

  group_join_reply join_reply_{7, true};
  bool store_unavailable_ = false;
  bool left_ = false;
  int join_calls_ = 0;
  int owners_calls_ = 0;
  int64_t last_generation_ = -1;
  std::vector<std::string> members_;
  group_member member_;
};

TEST_F(group_member_test, ListsMembersOncePerGeneration) {
  member_.Start();
  ASSERT_TRUE(RunUntil([&] { return join_calls_ == 4; }));
  EXPECT_EQ(owners_calls_, 1);
  EXPECT_EQ(members_.size(), 2u);
  EXPECT_EQ(last_generation_, 7);
  join_reply_.generation = 8;
  ASSERT_TRUE(RunUntil([&] { return owners_calls_ == 2; }));
}

TEST_F(group_member_test, ListsOnceAtTheStartWhateverTheRate) {
  member_.SetListingRate(0);
  member_.Start();
  ASSERT_TRUE(RunUntil([&] { return owners_calls_ == 1; }));
  join_reply_.generation = 8;
  ASSERT_TRUE(RunUntil([&] { return join_calls_ == 5; }));
  EXPECT_EQ(owners_calls_, 1);
}

// A change is not forgotten while the rate allows no listing.
TEST_F(group_member_test, ListsAnEarlierChangeWhenTheRateAllowsIt) {
  member_.SetListingRate(0);
  member_.Start();
  join_reply_.generation = 8;
  ASSERT_TRUE(RunUntil([&] { return join_calls_ == 3; }));
  join_reply_.generation = 9;
  ASSERT_TRUE(RunUntil([&] { return join_calls_ == 5; }));
  const int calls_before = owners_calls_;
  member_.SetListingRate(1 / absl::ToDoubleSeconds(kLease / 3));
  ASSERT_TRUE(RunUntil([&] { return join_calls_ == 8; }));
  EXPECT_EQ(owners_calls_, calls_before + 1);
}

// An earlier holder may send orders until its lease expires.
TEST_F(group_member_test, WaitsForOneLeaseBeforeItHoldsTheOrderRight) {
  member_.Start();
  const absl::Time started_at = MonotonicNow();
  EXPECT_FALSE(HoldsOrderRight());
  ASSERT_TRUE(RunUntil([&] { return HoldsOrderRight(); }));
  EXPECT_GE(MonotonicNow() - started_at, kLease - absl::Milliseconds(5));
  EXPECT_EQ(member_.OrderRight(MonotonicNow())->fencing_token, 7);
}

TEST_F(group_member_test, LosesTheOrderRightWithoutConfirmationByTheStore) {
  member_.Start();
  ASSERT_TRUE(RunUntil([&] { return HoldsOrderRight(); }));
  store_unavailable_ = true;
  ASSERT_TRUE(RunUntil([&] { return !HoldsOrderRight(); }, kLease));
}

// A daemon that was paused may resume after its lease has expired, when another
// daemon may already have sent orders.
TEST_F(group_member_test, LosesTheOrderRightWhenItsLeaseExpires) {
  member_.Start();
  ASSERT_TRUE(RunUntil([&] { return HoldsOrderRight(); }));
  EXPECT_FALSE(member_.OrderRight(MonotonicNow() + kLease).has_value());
}

TEST_F(group_member_test, LosesTheOrderRightWithTheFirstPartition) {
  member_.Start();
  ASSERT_TRUE(RunUntil([&] { return HoldsOrderRight(); }));
  join_reply_ = {8, false};
  ASSERT_TRUE(RunUntil([&] { return !HoldsOrderRight(); }));
}

// Guards against two holders with one fencing token: after its return from an
// older copy the store gives out generations again.
TEST_F(group_member_test, ATokenIsGreaterThanThoseOfEarlierEras) {
  join_reply_ = {7, true, store_era{1}};
  member_.Start();
  ASSERT_TRUE(RunUntil([&] { return HoldsOrderRight(); }));
  const int64_t before = member_.OrderRight(MonotonicNow())->fencing_token;
  join_reply_ = {4, false, store_era{2}};
  ASSERT_TRUE(RunUntil([&] { return !HoldsOrderRight(); }));
  for (const int64_t generation : {5, 7, 8}) {
    join_reply_ = {generation, true, store_era{2}};
    const int calls = join_calls_;
    ASSERT_TRUE(RunUntil([&] { return join_calls_ > calls + 1; }));
    ASSERT_TRUE(RunUntil([&] { return HoldsOrderRight(); }));
    EXPECT_GT(member_.OrderRight(MonotonicNow())->fencing_token, before);
  }
}

// Guards against a holder by an old copy that sends orders while the holder of
// the earlier era still may, and against orders that stop for long.
TEST_F(group_member_test, AReturnOfTheStoreBeginsTheWaitOfALeaseAnew) {
  join_reply_ = {7, true, store_era{1}};
  member_.Start();
  ASSERT_TRUE(RunUntil([&] { return HoldsOrderRight(); }));
  join_reply_ = {7, true, store_era{2}};
  ASSERT_TRUE(RunUntil([&] { return !HoldsOrderRight(); }, kLease));
  const absl::Time returned_at = MonotonicNow();
  EXPECT_TRUE(RunUntil([&] { return HoldsOrderRight(); }, 2 * kLease));
  EXPECT_GE(MonotonicNow() - returned_at, kLease - absl::Milliseconds(10));
}

// Guards against a change of the group that a return of the store hides, as the
// generation is the same.
TEST_F(group_member_test, ListsTheMembersAnewInANewEra) {
  join_reply_ = {7, false, store_era{1}};
  member_.Start();
  ASSERT_TRUE(RunUntil([&] { return join_calls_ == 3; }));
  EXPECT_EQ(owners_calls_, 1);
  join_reply_ = {7, false, store_era{2}};
  ASSERT_TRUE(RunUntil([&] { return join_calls_ == 6; }));
  EXPECT_EQ(owners_calls_, 2);
  // The next join call names the generation of the new era.
  join_reply_ = {5, false, store_era{3}};
  ASSERT_TRUE(RunUntil([&] { return join_calls_ == 8; }));
  EXPECT_EQ(last_generation_, 5);
}

// A reply that was sent before the return of the store, and came after it.
TEST_F(group_member_test, AnEarlierReplyConfirmsNothing) {
  join_reply_ = {4, true, store_era{2}};
  member_.Start();
  ASSERT_TRUE(RunUntil([&] { return HoldsOrderRight(); }));
  for (const group_join_reply& earlier :
       {group_join_reply{9, true, store_era{1}},
        group_join_reply{3, true, store_era{2}}}) {
    join_reply_ = earlier;
    ASSERT_TRUE(RunUntil([&] { return !HoldsOrderRight(); }, 2 * kLease));
    join_reply_ = {4, true, store_era{2}};
    ASSERT_TRUE(RunUntil([&] { return HoldsOrderRight(); }, 3 * kLease));
  }
}

// A reply that names no era confirms what is known, and nothing else: era and
// generation of a token come from one reply.
TEST_F(group_member_test, AReplyWithoutAnEraBringsNoNewToken) {
  join_reply_ = {7, true, store_era{1}};
  member_.Start();
  ASSERT_TRUE(RunUntil([&] { return HoldsOrderRight(); }));
  const int64_t before = member_.OrderRight(MonotonicNow())->fencing_token;
  join_reply_ = {7, true};
  RunUntil([] { return false; }, kLease);
  ASSERT_TRUE(HoldsOrderRight());
  EXPECT_EQ(member_.OrderRight(MonotonicNow())->fencing_token, before);
  join_reply_ = {8, true};
  EXPECT_TRUE(RunUntil([&] { return !HoldsOrderRight(); }, 2 * kLease));
  join_reply_ = {8, true, store_era{1}};
  ASSERT_TRUE(RunUntil([&] { return HoldsOrderRight(); }, 3 * kLease));
  EXPECT_EQ(member_.OrderRight(MonotonicNow())->fencing_token, before + 1);
}

// Guards against tokens that engines can't read exactly, as they are sent as
// JSON numbers.
TEST_F(group_member_test, ATokenThatIsTooLargeGivesNoRight) {
  join_reply_ = {int64_t{1} << 32, true, store_era{1}};
  member_.Start();
  RunUntil([] { return false; }, 2 * kLease);
  EXPECT_FALSE(HoldsOrderRight());
}

TEST(fencing_token_test, RisesWithEraAndGeneration) {
  constexpr int64_t kMaxGeneration = (int64_t{1} << 32) - 1;
  constexpr int64_t kMaxEra = (int64_t{1} << 21) - 1;
  // Largest number below which a JSON number holds each whole number exactly.
  constexpr int64_t kMaxExact = int64_t{1} << 53;
  EXPECT_EQ(FencingToken({store_era::none, 41}), 41);
  std::optional<int64_t> last;
  for (const int64_t era : {int64_t{0}, int64_t{1}, int64_t{2}, kMaxEra}) {
    for (const int64_t generation :
         {int64_t{0}, int64_t{1}, int64_t{41}, kMaxGeneration}) {
      const auto token = FencingToken({store_era{era}, generation});
      ASSERT_TRUE(token.has_value());
      EXPECT_GT(token, last);
      EXPECT_LT(*token, kMaxExact);
      last = token;
    }
  }
  EXPECT_FALSE(FencingToken({store_era{kMaxEra + 1}, 0}).has_value());
  EXPECT_FALSE(FencingToken({store_era{1}, kMaxGeneration + 1}).has_value());
  EXPECT_FALSE(FencingToken({store_era{-2}, 1}).has_value());
  EXPECT_FALSE(FencingToken({store_era{1}, -1}).has_value());
}

TEST_F(group_member_test, DoesNotJoinAgainAfterLeaving) {
  member_.Start();
  member_.Leave();
  EXPECT_TRUE(left_);
  EXPECT_FALSE(HoldsOrderRight());
  const int calls_before = join_calls_;
  RunUntil([] { return false; }, kLease);
  EXPECT_EQ(join_calls_, calls_before);
}

// A group in a store that comes back from an older copy.
class fake_group {
 public:
  group_calls Calls() {
    group_calls calls;
    calls.join = [this](const std::string& member, int64_t, absl::Duration,
                        auto done) {
      done(group_join_reply{generation_, member == holder_, era_});
    };
    calls.owners = [](auto) {};
    calls.leave = [](const std::string&) {};
    return calls;
  }
  void GiveTo(const std::string& member) {
    holder_ = member;
    ++generation_;
  }
  void TakeCopy() { copy_ = {holder_, generation_}; }
  void ReturnFromCopy() {
    std::tie(holder_, generation_) = copy_;
    era_ = store_era{static_cast<int64_t>(era_) + 1};
  }

 private:
  std::string holder_;
  int64_t generation_ = 1;
  store_era era_ = store_era{1};
  std::pair<std::string, int64_t> copy_;
};

class returned_group_test : public event_loop_test {
 protected:
  returned_group_test() {
    for (const char* name : {"a", "b", "c"}) {
      members_[name] = std::make_unique<group_member>(
          name, kLease, group_.Calls(), [](const std::vector<std::string>&) {});
      members_[name]->Start();
    }
  }

  // Notes who holds the right, and checks that no other does, and that the
  // token is greater than those of all others so far.
  void Look() {
    int holders = 0;
    for (const auto& [name, member] : members_) {
      const auto right = member->OrderRight(MonotonicNow());
      if (!right) continue;
      ++holders;
      for (const auto& [other, token] : tokens_) {
        if (other == name) continue;
        EXPECT_GT(right->fencing_token, token) << name;
      }
      tokens_[name] = std::max(tokens_[name], right->fencing_token);
      holder_ = name;
    }
    EXPECT_LE(holders, 1);
  }

  // Waits until `name` holds the right.
  void WaitFor(const std::string& name) {
    holder_.clear();
    EXPECT_TRUE(RunUntil(
        [&] {
          Look();
          return holder_ == name;
        },
        3 * kLease))
        << name;
  }

  fake_group group_;
  std::map<std::string, std::unique_ptr<group_member>> members_;
  // Highest token by holder, and the last holder.
  std::map<std::string, int64_t> tokens_;
  std::string holder_;
};

// Guards against two daemons that order an engine with one fencing token, or
// with falling ones: in the copy the group has a generation of before, and
// perhaps a holder that had lost the right since.
TEST_F(returned_group_test, TokensOfHoldersRiseOverReturns) {
  group_.GiveTo("a");
  WaitFor("a");
  group_.TakeCopy();
  group_.GiveTo("b");
  WaitFor("b");
  group_.ReturnFromCopy();
  WaitFor("a");
  group_.GiveTo("c");
  WaitFor("c");
  // Twice, and dealt anew before the members join again.
  group_.ReturnFromCopy();
  group_.GiveTo("b");
  group_.ReturnFromCopy();
  group_.GiveTo("b");
  WaitFor("b");
  group_.GiveTo("a");
  WaitFor("a");
}

}  // namespace
}  // namespace anvilridge
