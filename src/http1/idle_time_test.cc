#include "http1/idle_time.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000);
constexpr absl::Duration kNamed = absl::Seconds(4);
constexpr char kDropping[] = "10.0.0.1:80";
constexpr char kOther[] = "10.0.0.2:80";

TEST(idle_time_test, TheNamedTimeHoldsUntilAConnectionBreaks) {
  idle_times times;
  EXPECT_EQ(IdleTime(times, kDropping, kNamed, kStart), kNamed);
  NoteIdleBreak(times, kDropping, absl::Milliseconds(500), kStart);
  const absl::Duration learned = IdleTime(times, kDropping, kNamed, kStart);
  EXPECT_LT(learned, absl::Milliseconds(500));
  EXPECT_GT(learned, absl::ZeroDuration());
}

TEST(idle_time_test, OthersAreSparedForAWhileToo) {
  idle_times times;
  NoteIdleBreak(times, kDropping, absl::Milliseconds(500), kStart);
  EXPECT_LT(IdleTime(times, kOther, kNamed, kStart), absl::Milliseconds(500));
  const absl::Time later = kStart + absl::Seconds(20);
  EXPECT_EQ(IdleTime(times, kOther, kNamed, later), kNamed);
  EXPECT_LT(IdleTime(times, kDropping, kNamed, later), absl::Milliseconds(500));
}

TEST(idle_time_test, TheShortestCountsAndIsForgotten) {
  idle_times times;
  NoteIdleBreak(times, kDropping, absl::Milliseconds(300), kStart);
  NoteIdleBreak(times, kDropping, absl::Seconds(2), kStart + absl::Seconds(1));
  EXPECT_LT(IdleTime(times, kDropping, kNamed, kStart + absl::Seconds(2)),
            absl::Milliseconds(300));
  const absl::Time later = kStart + absl::Minutes(2);
  EXPECT_EQ(IdleTime(times, kDropping, kNamed, later), kNamed);
  NoteIdleBreak(times, kDropping, absl::Seconds(2), later);
  EXPECT_GT(IdleTime(times, kDropping, kNamed, later), absl::Seconds(1));
}

}  // namespace
}  // namespace anvilridge
