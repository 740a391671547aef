#include "planning/offline_bound.h"

#include <vector>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000);
constexpr absl::Duration kTarget = absl::Milliseconds(900);

// An engine that reads a prompt of 5,000 tokens in 100 ms and holds ten such
// streams, each of which decodes 5,000 tokens in 5 s.
engine_capacity Engines(int count) {
  engine_capacity capacity;
  capacity.engines = count;
  capacity.kv_tokens = 75'000;
  capacity.prefill_tokens_per_ms = 50;
  capacity.step_ms = 1;
  return capacity;
}

std::vector<stream_arrival> Together(int count, absl::Time at) {
  return std::vector<stream_arrival>(count, {at, 5'000, 5'000});
}

TEST(offline_bound_test, AFewStreamsFit) {
  const service_bound bound =
      BoundOnTime(Together(8, kStart), Engines(1), kTarget);
  EXPECT_EQ(bound.arrivals, 8);
  EXPECT_EQ(bound.most_on_time, 8);
}

// 600 ms of an engine each, 6 s at most until the last must have ended.
TEST(offline_bound_test, ABurstIsBoundedByItsSpan) {
  const service_bound bound =
      BoundOnTime(Together(40, kStart), Engines(1), kTarget);
  EXPECT_EQ(bound.most_on_time, 10);
  EXPECT_EQ(BoundOnTime(Together(40, kStart), Engines(4), kTarget).most_on_time,
            40);
}

TEST(offline_bound_test, TwoBurstsAddUp) {
  std::vector<stream_arrival> arrivals = Together(20, kStart);
  const auto second = Together(20, kStart + absl::Seconds(10));
  arrivals.insert(arrivals.end(), second.begin(), second.end());
  EXPECT_EQ(BoundOnTime(arrivals, Engines(1), kTarget).most_on_time, 20);
}

// A plan that knows what comes leaves out the large ones.
TEST(offline_bound_test, SmallStreamsAreCountedFirst) {
  std::vector<stream_arrival> arrivals = Together(10, kStart);
  for (int i = 0; i < 10; ++i) arrivals.push_back({kStart, 50'000, 5'000});
  const service_bound bound = BoundOnTime(arrivals, Engines(1), kTarget);
  EXPECT_EQ(bound.most_on_time, 10);
}

TEST(offline_bound_test, NothingArrives) {
  EXPECT_EQ(BoundOnTime({}, Engines(1), kTarget).most_on_time, 0);
}

}  // namespace
}  // namespace anvilridge
