#include "quarantine/part_successes.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

TEST(part_successes_test, KnowsTheLastSuccess) {
  part_successes successes;
  EXPECT_EQ(LastSuccess(successes, 7), absl::InfinitePast());
  RecordSuccess(successes, 7, kNow);
  RecordSuccess(successes, 7, kNow + absl::Seconds(1));
  EXPECT_EQ(LastSuccess(successes, 7), kNow + absl::Seconds(1));
}

TEST(part_successes_test, KeepsAGenerationAndForgetsTheOneBefore) {
  part_successes successes;
  RecordSuccess(successes, 7, kNow);
  RecordSuccess(successes, 8, kNow + kGenerationLength);
  EXPECT_EQ(LastSuccess(successes, 7), kNow);
  RecordSuccess(successes, 9, kNow + 2 * kGenerationLength);
  EXPECT_EQ(LastSuccess(successes, 7), absl::InfinitePast());
  EXPECT_EQ(LastSuccess(successes, 8), kNow + kGenerationLength);
}

TEST(part_successes_test, IsBounded) {
  part_successes successes;
  for (prompt_part part = 0; part < 10 * kMaxPartsPerGeneration; ++part) {
    RecordSuccess(successes, part, kNow);
  }
  EXPECT_LE(successes.current.size() + successes.previous.size(),
            2 * kMaxPartsPerGeneration);
}

}  // namespace
}  // namespace anvilridge
