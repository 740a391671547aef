#include "planning/offline_bound.h"

#include <vector>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000);
constexpr absl::Duration kTarget = absl::Milliseconds(900);

// Returns engines that each prefill a prompt of 5,000 tokens in 100 ms, decode
// an output of 5,000 tokens in 5 s and have KV cache for ten such streams.
engine_capacity Engines(int count) {
  engine_capacity capacity;
  capacity.engines = count;
  capacity.kv_tokens = 75'000;
  capacity.prefill_tokens_per_ms = 50;
  capacity.step_ms = 1;
  return capacity;
}

std::vector<stream_arrival> SimultaneousArrivals(int count,
                                                 absl::Time arrived_at) {
  return std::vector<stream_arrival>(count, {arrived_at, 5'000, 5'000});
}

TEST(offline_bound_test, FewStreamsAllFit) {
  const on_time_bound bound =
      BoundStreamsOnTime(SimultaneousArrivals(8, kStart), Engines(1), kTarget);
  EXPECT_EQ(bound.arrivals, 8);
  EXPECT_EQ(bound.max_on_time, 8);
}

// Each stream needs 600 ms of engine time: 100 ms for prefill and a tenth of
// the 5 s for decode. All must end within 5.9 s, rounded up to 6 s by the grid.
TEST(offline_bound_test, BurstIsBoundedByEngineTime) {
  const on_time_bound bound =
      BoundStreamsOnTime(SimultaneousArrivals(40, kStart), Engines(1), kTarget);
  EXPECT_EQ(bound.max_on_time, 10);
  EXPECT_EQ(
      BoundStreamsOnTime(SimultaneousArrivals(40, kStart), Engines(4), kTarget)
          .max_on_time,
      40);
}

TEST(offline_bound_test, BoundsOfSeparateBurstsAddUp) {
  std::vector<stream_arrival> arrivals = SimultaneousArrivals(20, kStart);
  const auto second_burst =
      SimultaneousArrivals(20, kStart + absl::Seconds(10));
  arrivals.insert(arrivals.end(), second_burst.begin(), second_burst.end());
  EXPECT_EQ(BoundStreamsOnTime(arrivals, Engines(1), kTarget).max_on_time, 20);
}

// The bound must hold for a plan that knows all arrivals in advance and drops
// the large streams in favour of the small ones.
TEST(offline_bound_test, SmallStreamsAreCountedFirst) {
  std::vector<stream_arrival> arrivals = SimultaneousArrivals(10, kStart);
  for (int i = 0; i < 10; ++i) arrivals.push_back({kStart, 50'000, 5'000});
  const on_time_bound bound = BoundStreamsOnTime(arrivals, Engines(1), kTarget);
  EXPECT_EQ(bound.max_on_time, 10);
}

TEST(offline_bound_test, NoArrivalsGiveZero) {
  EXPECT_EQ(BoundStreamsOnTime({}, Engines(1), kTarget).max_on_time, 0);
}

}  // namespace
}  // namespace anvilridge
