#include "dispatch/admission_turn.h"

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr uint32_t kEngine = 17;

std::vector<room_contender> Daemons(int count) {
  std::vector<room_contender> daemons(static_cast<size_t>(count));
  for (size_t i = 0; i < daemons.size(); ++i) {
    daemons[i] = {absl::StrCat("10.0.0.", i, ":7660"), 1};
  }
  return daemons;
}

std::vector<room_contender> Without(std::vector<room_contender> daemons,
                                    size_t index) {
  daemons.erase(daemons.begin() + static_cast<std::ptrdiff_t>(index));
  return daemons;
}

absl::Time At(int64_t ms) {
  return absl::FromUnixSeconds(1000) + absl::Milliseconds(ms);
}

TEST(admission_turn_test, EveryDaemonHasAPlaceOfItsOwn) {
  const std::vector<room_contender> daemons = Daemons(5);
  for (size_t runs = 0; runs < 20; ++runs) {
    std::vector<bool> taken(daemons.size());
    for (size_t i = 0; i < daemons.size(); ++i) {
      const size_t rank =
          TurnRank(kEngine, runs, daemons[i], Without(daemons, i));
      ASSERT_LT(rank, daemons.size());
      EXPECT_FALSE(taken[rank]);
      taken[rank] = true;
    }
  }
}

TEST(admission_turn_test, WhoHasMoreStreamsIsFirstMoreOften) {
  std::vector<room_contender> daemons = Daemons(2);
  daemons[0].streams = 3;
  int first = 0;
  for (uint32_t engine = 0; engine < 1000; ++engine) {
    if (TurnRank(engine, 4, daemons[0], Without(daemons, 0)) == 0) ++first;
  }
  EXPECT_NEAR(first, 750, 60);
}

// Burst: two daemons that wait see room at one engine, one of them a little
// later; both look every 20 ms.
TEST(admission_turn_test, TwoDaemonsNeverTakeRoomWithinTheTimeOfATold) {
  constexpr int64_t kSeenLater = 9;
  constexpr int64_t kTold = 11;
  room_sightings sightings[2];
  int64_t taken[2] = {-1000, -1000};
  for (int64_t ms = 0; ms < 2000; ++ms) {
    for (size_t i = 0; i < 2; ++i) {
      const int64_t own = ms - (i == 0 ? 0 : kSeenLater);
      if (own < 0 || own % 20 != 0) continue;
      if (!MayTakeRoom(sightings[i], kEngine, 5, i, 2, At(ms))) continue;
      taken[i] = ms;
      EXPECT_GT(ms - taken[1 - i], kTold);
    }
  }
  EXPECT_GT(taken[0], 0);
  EXPECT_GT(taken[1], 0);
}

TEST(admission_turn_test, RoomThatWasNotWatchedIsNew) {
  room_sightings sightings;
  EXPECT_FALSE(MayTakeRoom(sightings, kEngine, 5, 0, 1, At(0)));
  EXPECT_TRUE(MayTakeRoom(sightings, kEngine, 5, 0, 1, At(20)));
  EXPECT_FALSE(MayTakeRoom(sightings, kEngine, 5, 0, 1, At(500)));
  // Another run there: the others may not have heard of it yet.
  EXPECT_FALSE(MayTakeRoom(sightings, kEngine, 6, 0, 1, At(520)));
  EXPECT_TRUE(MayTakeRoom(sightings, kEngine, 6, 0, 1, At(540)));
}

}  // namespace
}  // namespace anvilridge
