#include "dispatch/admission_turn.h"

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr uint32_t kEngine = 17;

std::vector<waiting_daemon> Daemons(int count) {
  std::vector<waiting_daemon> daemons(static_cast<size_t>(count));
  for (size_t i = 0; i < daemons.size(); ++i) {
    daemons[i] = {absl::StrCat("10.0.0.", i, ":7660"), 1};
  }
  return daemons;
}

std::vector<waiting_daemon> Without(std::vector<waiting_daemon> daemons,
                                    size_t index) {
  daemons.erase(daemons.begin() + static_cast<std::ptrdiff_t>(index));
  return daemons;
}

absl::Time At(int64_t ms) {
  return absl::FromUnixSeconds(1000) + absl::Milliseconds(ms);
}

TEST(admission_turn_test, EveryDaemonHasADistinctRank) {
  const std::vector<waiting_daemon> daemons = Daemons(5);
  for (size_t runs = 0; runs < 20; ++runs) {
    std::vector<bool> rank_used(daemons.size());
    for (size_t i = 0; i < daemons.size(); ++i) {
      const size_t rank =
          TurnRank(kEngine, runs, daemons[i], Without(daemons, i));
      ASSERT_LT(rank, daemons.size());
      EXPECT_FALSE(rank_used[rank]);
      rank_used[rank] = true;
    }
  }
}

TEST(admission_turn_test, DaemonWithMoreStreamsIsFirstMoreOften) {
  std::vector<waiting_daemon> daemons = Daemons(2);
  daemons[0].streams = 3;
  int first = 0;
  for (uint32_t engine = 0; engine < 1000; ++engine) {
    if (TurnRank(engine, 4, daemons[0], Without(daemons, 0)) == 0) ++first;
  }
  EXPECT_NEAR(first, 750, 60);
}

// Guards against an overrun in a burst: two daemons with waiting streams
// observe free capacity at one engine, the second one 9 ms later, and check
// every 20 ms. The second must not use the capacity before the message about
// the first one's reservation can have arrived.
TEST(admission_turn_test, TwoDaemonsNeverUseCapacityWithinTheMessageDelay) {
  constexpr int64_t kObservationLagMs = 9;
  constexpr int64_t kMessageDelayMs = 11;
  capacity_observations observed[2];
  int64_t used[2] = {-1000, -1000};
  for (int64_t ms = 0; ms < 2000; ++ms) {
    for (size_t i = 0; i < 2; ++i) {
      const int64_t since_observation = ms - (i == 0 ? 0 : kObservationLagMs);
      if (since_observation < 0 || since_observation % 20 != 0) continue;
      if (!MayUseCapacity(observed[i], kEngine, 5, i, 2, At(ms))) continue;
      used[i] = ms;
      EXPECT_GT(ms - used[1 - i], kMessageDelayMs);
    }
  }
  EXPECT_GT(used[0], 0);
  EXPECT_GT(used[1], 0);
}

TEST(admission_turn_test, UnobservedCapacityCountsAsNew) {
  capacity_observations observed;
  EXPECT_FALSE(MayUseCapacity(observed, kEngine, 5, 0, 1, At(0)));
  EXPECT_TRUE(MayUseCapacity(observed, kEngine, 5, 0, 1, At(20)));
  EXPECT_FALSE(MayUseCapacity(observed, kEngine, 5, 0, 1, At(500)));
  // The number of runs changed: other daemons may not have received it yet.
  EXPECT_FALSE(MayUseCapacity(observed, kEngine, 6, 0, 1, At(520)));
  EXPECT_TRUE(MayUseCapacity(observed, kEngine, 6, 0, 1, At(540)));
}

}  // namespace
}  // namespace anvilridge
