#include "fleet/group_member.h"

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

TEST_F(group_member_test, DoesNotJoinAgainAfterLeaving) {
  member_.Start();
  member_.Leave();
  EXPECT_TRUE(left_);
  EXPECT_FALSE(HoldsOrderRight());
  const int calls_before = join_calls_;
  RunUntil([] { return false; }, kLease);
  EXPECT_EQ(join_calls_, calls_before);
}

}  // namespace
}  // namespace anvilridge
