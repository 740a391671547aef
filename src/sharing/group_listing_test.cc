// Load pattern: the daemons of a group are stopped and started in turn, so that
// the group changes all the time. Every change must reach all daemons at once,
// by messages, and the calls to the store must not grow with the square of the
// daemons.
#include "sharing/group_listing.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "absl/random/random.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

// Seconds between two join calls of a daemon.
constexpr double kJoinInterval = 1;
constexpr int kStarts = 60;

// Returns how many listings `daemons` daemons make while one of them restarts
// each second, without those of the starts themselves.
int ListingsOfRollingRestart(int daemons, absl::BitGen& random) {
  const double chance =
      std::min(1.0, GroupListingRate({daemons, 0}) * kJoinInterval);
  int listings = 0;
  for (int second = 0; second < kStarts; ++second) {
    for (int daemon = 0; daemon < daemons; ++daemon) {
      if (absl::Bernoulli(random, chance)) ++listings;
    }
  }
  return listings;
}

class rolling_restart_test : public testing::TestWithParam<int> {};

// Without the rate, 78 daemons make 4,680 calls in this minute, and 370 daemons
// 22,200.
TEST_P(rolling_restart_test, ListingsDoNotGrowWithTheGroup) {
  absl::BitGen random;
  const double expected = kGroupListingsPerSecond * kStarts;
  // Five standard deviations of the number of draws that succeed.
  const double margin = 5 * std::sqrt(expected);
  EXPECT_NEAR(ListingsOfRollingRestart(GetParam(), random), expected, margin);
}

INSTANTIATE_TEST_SUITE_P(sizes, rolling_restart_test,
                         testing::Values(12, 78, 370));

TEST(group_listing_test, SmallGroupsListEachChange) {
  for (const int daemons : {0, 1, 2, 4}) {
    EXPECT_GE(GroupListingRate({daemons, 0}) * kJoinInterval, 1) << daemons;
  }
}

// A daemon that ended without a message is counted until it is no longer
// listed.
TEST(group_listing_test, AListedDaemonThatFellSilentIsLookedUpAtOnce) {
  EXPECT_TRUE(std::isinf(GroupListingRate({78, 1})));
}

}  // namespace
}  // namespace anvilridge
