#include "dispatch/decode_memory.h"

#include "gtest/gtest.h"
#include "rapidcheck.h"
#include "rapidcheck/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

decode_run MakeRun(double context, double remaining) {
  return {context, remaining, kNow};
}

TEST(decode_memory_test, PeaksJustBeforeARunEnds) {
  // 100 + 50 now; 110 + 60 after 10 tokens each, when the first run ends.
  EXPECT_DOUBLE_EQ(PeakTokens(std::vector{MakeRun(100, 10), MakeRun(50, 20)}),
                   170);
  EXPECT_DOUBLE_EQ(PeakTokens(std::vector{MakeRun(10, 10), MakeRun(50, 100)}),
                   150);
  EXPECT_DOUBLE_EQ(PeakTokens({}), 0);
}

TEST(decode_memory_test, ExtrapolatesARunAtItsSpeed) {
  const decode_run later =
      ExtrapolateRun(MakeRun(100, 50), kNow + absl::Milliseconds(20), 2);
  EXPECT_DOUBLE_EQ(later.context, 140);
  EXPECT_DOUBLE_EQ(later.remaining, 10);
  const decode_run over =
      ExtrapolateRun(MakeRun(100, 50), kNow + absl::Seconds(9), 2);
  EXPECT_DOUBLE_EQ(over.context, 150);
  EXPECT_DOUBLE_EQ(over.remaining, 0);
  // A run that begins after `now` has generated nothing yet.
  EXPECT_DOUBLE_EQ(
      ExtrapolateRun(MakeRun(100, 50), kNow - absl::Seconds(1), 2).context,
      100);
}

TEST(decode_memory_test, CapacityIsFreeWhenEnoughRunsHaveEnded) {
  const std::vector<decode_run> runs = {MakeRun(50, 10), MakeRun(40, 100)};
  EXPECT_EQ(ForecastCapacity({}, MakeRun(50, 10), 100, 4, 1).wait,
            absl::ZeroDuration());
  EXPECT_EQ(ForecastCapacity(runs, MakeRun(30, 10), 200, 4, 1).wait,
            absl::ZeroDuration());
  // 145 tokens are enough beside the long run alone, once the short run has
  // ended after 10 ms.
  EXPECT_EQ(ForecastCapacity(runs, MakeRun(30, 10), 145, 4, 1).wait,
            absl::Milliseconds(10));
  EXPECT_EQ(ForecastCapacity(runs, MakeRun(30, 10), 200, 2, 1).wait,
            absl::Milliseconds(10));
  EXPECT_EQ(ForecastCapacity(runs, MakeRun(100, 21), 120, 4, 1).wait,
            absl::InfiniteDuration());
  EXPECT_EQ(ForecastCapacity(runs, MakeRun(1, 1), 120, 0, 1).wait,
            absl::InfiniteDuration());
}

// Runs extrapolated in steps of 50 ms never hold more than the forecast peak.
RC_GTEST_PROP(decode_memory_test, MemoryNeverExceedsTheForecastPeak, ()) {
  const auto sizes = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 5000), rc::gen::inRange(0, 5000)));
  std::vector<decode_run> runs;
  runs.reserve(sizes.size());
  for (const auto& [context, remaining] : sizes) {
    runs.push_back(MakeRun(context, remaining));
  }
  const double peak = PeakTokens(runs);
  double highest = 0;
  for (int ms = 0; ms <= 5000; ms += 50) {
    double held = 0;
    for (const decode_run& run : runs) {
      const decode_run extrapolated =
          ExtrapolateRun(run, kNow + absl::Milliseconds(ms), 1);
      if (extrapolated.remaining > 0) held += extrapolated.context;
    }
    highest = std::max(highest, held);
  }
  RC_ASSERT(highest <= peak + 1e-6);
}

}  // namespace
}  // namespace anvilridge
