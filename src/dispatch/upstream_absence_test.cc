#include "dispatch/upstream_absence.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr uint32_t kEngine = 7;
const absl::Time kNow = absl::FromUnixSeconds(1000);

TEST(upstream_absence_test, RefusalsPauseItLongerEachTime) {
  absence_table table;
  absl::Time now = kNow;
  absl::Duration before;
  for (int i = 0; i < 6; ++i) {
    NoteRefusal(table, kEngine, now);
    absl::Time back = now;
    while (IsAbsent(table, kEngine, engine_stage::decode, back)) {
      back += absl::Milliseconds(1);
    }
    EXPECT_GE(back - now, before);
    EXPECT_LE(back - now, absl::Seconds(2));
    before = back - now;
    now = back;
  }
  NoteAccepted(table, kEngine);
  NoteRefusal(table, kEngine, now);
  EXPECT_FALSE(IsAbsent(table, kEngine, engine_stage::decode,
                        now + absl::Milliseconds(100)));
}

TEST(upstream_absence_test, RefusalsOfSendsUnderWayCountOnce) {
  absence_table table;
  for (int i = 0; i < 5; ++i) NoteRefusal(table, kEngine, kNow);
  EXPECT_FALSE(IsAbsent(table, kEngine, engine_stage::none,
                        kNow + absl::Milliseconds(100)));
}

TEST(upstream_absence_test, AnOrderedEngineIsBackWithItsNewStage) {
  absence_table table;
  NoteLeavingStage(table, kEngine, engine_stage::prefill,
                   kNow + absl::Seconds(12));
  EXPECT_TRUE(IsAbsent(table, kEngine, engine_stage::prefill, kNow));
  EXPECT_FALSE(IsAbsent(table, kEngine, engine_stage::decode, kNow));
  EXPECT_FALSE(IsAbsent(table, kEngine, engine_stage::prefill,
                        kNow + absl::Seconds(13)));
}

// A daemon that the store turns away goes on seeing an instance that is gone.
TEST(upstream_absence_test, AMisdirectedUpstreamIsAwayForSeconds) {
  absence_table table;
  NoteMisdirected(table, kEngine, engine_stage::decode, kNow);
  const absl::Time later = kNow + absl::Seconds(3);
  EXPECT_TRUE(IsAbsent(table, kEngine, engine_stage::decode, later));
  // Registered with another stage since.
  EXPECT_FALSE(IsAbsent(table, kEngine, engine_stage::prefill, later));
  EXPECT_FALSE(
      IsAbsent(table, kEngine, engine_stage::decode, kNow + absl::Seconds(6)));
}

// Engines gone dark: each daemon would find out by itself, with a request.
TEST(upstream_absence_test, TwoOthersThatCannotConnectAreBelieved) {
  absence_table table;
  NoteReport(table, kEngine, "one", kNow);
  NoteReport(table, kEngine, "one", kNow);
  EXPECT_FALSE(IsAbsent(table, kEngine, engine_stage::decode, kNow));
  NoteReport(table, kEngine, "two", kNow);
  EXPECT_TRUE(IsAbsent(table, kEngine, engine_stage::decode, kNow));
  // Somebody tries again when nobody tells of it any more.
  EXPECT_FALSE(IsAbsent(table, kEngine, engine_stage::decode,
                        kNow + absl::Milliseconds(1100)));
}

// Engines cut off from some daemons only.
TEST(upstream_absence_test, OwnAnswersGoBeforeReports) {
  absence_table table;
  NoteReached(table, kEngine, kNow);
  NoteReport(table, kEngine, "one", kNow);
  NoteReport(table, kEngine, "two", kNow);
  EXPECT_FALSE(IsAbsent(table, kEngine, engine_stage::decode, kNow));
}

TEST(upstream_absence_test, AFailedConnectionIsToldForAWhile) {
  absence_table table;
  NoteUnreachable(table, kEngine, kNow);
  EXPECT_TRUE(IsAbsent(table, kEngine, engine_stage::decode, kNow));
  EXPECT_EQ(UnreachableUpstreams(table, kNow + absl::Milliseconds(900)),
            std::vector<uint32_t>{kEngine});
  EXPECT_TRUE(
      UnreachableUpstreams(table, kNow + absl::Milliseconds(1100)).empty());
  NoteReached(table, kEngine, kNow);
  EXPECT_TRUE(UnreachableUpstreams(table, kNow).empty());
}

}  // namespace
}  // namespace anvilridge
