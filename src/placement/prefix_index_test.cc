#include "placement/prefix_index.h"

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

using ::testing::ElementsAre;

const absl::Time kNow = absl::UnixEpoch();
const prefix_policy kPolicy;

cache_event Event(int64_t seq, bool stored, uint64_t prefix) {
  return {seq, stored, absl::StrCat(absl::Hex(prefix, absl::kZeroPad16))};
}

// Events that store the prefixes 1 to `count`, numbered as they are.
cache_events Stored(int count) {
  cache_events answer;
  for (int i = 1; i <= count; ++i) answer.events.push_back(Event(i, true, i));
  answer.last_seq = count;
  return answer;
}

int Believed(const prefix_index& index, const std::vector<uint64_t>& prefixes,
             absl::Time now = kNow) {
  return BelievedBlocks(index, "p1", prefixes, kPolicy, now);
}

TEST(prefix_index_test, BelievesWhatEventsSay) {
  prefix_index index;
  ApplyCacheEvents(index, "p1", Stored(8), kPolicy, kNow);
  ApplyCacheEvents(index, "p1", {{Event(9, false, 3)}, 9}, kPolicy, kNow);
  struct {
    std::vector<uint64_t> prefixes;
    int blocks;
  } const cases[] = {
      {{1, 2}, 2},
      {{2, 1, 50}, 2},
      {{50, 51, 1}, 0},
      // One unknown block is taken for a lost event, and no more than one.
      {{1, 2, 3, 4, 5}, 5},
      {{1, 50, 51, 4}, 1},
      {{}, 0},
  };
  for (const auto& one : cases) {
    EXPECT_EQ(Believed(index, one.prefixes), one.blocks);
  }
  EXPECT_EQ(BelievedBlocks(index, "p2", {1, 2}, kPolicy, kNow), 0);
  EXPECT_THAT(LikelyHolders(index, {1}, kPolicy, kNow), ElementsAre("p1"));
}

TEST(prefix_index_test, SmallGapsAreBorneAndLargeOnesDoubted) {
  struct {
    int missing;
    int blocks;
  } const cases[] = {{0, 2}, {10, 2}, {11, 0}, {10000, 0}};
  for (const auto& one : cases) {
    SCOPED_TRACE(one.missing);
    prefix_index index;
    ApplyCacheEvents(index, "p1", Stored(19), kPolicy, kNow);
    const int64_t seq = 20 + one.missing;
    ApplyCacheEvents(index, "p1", {{Event(seq, true, 70)}, seq}, kPolicy, kNow);
    EXPECT_EQ(Believed(index, {1, 2}), one.blocks);
    // What came behind the gap is believed.
    EXPECT_EQ(Believed(index, {70}), 1);
  }
}

TEST(prefix_index_test, FirstAnswerAndRepeatedEventsMakeNoGap) {
  prefix_index index;
  ApplyCacheEvents(index, "p1", {{}, 5000}, kPolicy, kNow);
  ApplyCacheEvents(index, "p1",
                   {{Event(5000, true, 9), Event(5001, true, 1)}, 5001},
                   kPolicy, kNow);
  EXPECT_EQ(index.feeds.at("p1").missing, 0);
  EXPECT_EQ(Believed(index, {1}), 1);
  EXPECT_EQ(Believed(index, {9}), 0);
}

TEST(prefix_index_test, FeedThatBeganAnewForgetsTheEngine) {
  prefix_index index;
  ApplyCacheEvents(index, "p1", Stored(8), kPolicy, kNow);
  ApplyCacheEvents(index, "p1", {{Event(1, true, 1)}, 1}, kPolicy, kNow);
  EXPECT_EQ(Believed(index, {1}), 1);
  EXPECT_EQ(Believed(index, {4}), 0);
  ForgetEngine(index, "p1");
  EXPECT_THAT(LikelyHolders(index, {1}, kPolicy, kNow), ElementsAre());
}

// An eviction from before a prefill is told after it was placed, and the
// renewed entry after that.
TEST(prefix_index_test, LateEventsEndWithTheLastWord) {
  prefix_index index;
  ApplyCacheEvents(index, "p1", Stored(1), kPolicy, kNow);
  ExpectPrefixes(index, "p1", {1}, kPolicy, kNow);
  ApplyCacheEvents(index, "p1", {{Event(2, false, 1)}, 2}, kPolicy, kNow);
  EXPECT_EQ(Believed(index, {1}), 0);
  ApplyCacheEvents(index, "p1", {{Event(3, true, 1)}, 3}, kPolicy, kNow);
  EXPECT_EQ(Believed(index, {1}), 1);
}

TEST(prefix_index_test, EntriesExpireSoonerWhereNothingTellsOfEvictions) {
  prefix_index index;
  ExpectPrefixes(index, "p1", {1}, kPolicy, kNow);
  EXPECT_EQ(Believed(index, {1}, kNow + absl::Seconds(2.9)), 1);
  EXPECT_EQ(Believed(index, {1}, kNow + absl::Seconds(3)), 0);
  ApplyCacheEvents(index, "p1", {{}, 5000}, kPolicy, kNow);
  ExpectPrefixes(index, "p1", {1}, kPolicy, kNow);
  EXPECT_EQ(Believed(index, {1}, kNow + absl::Seconds(59)), 1);
  EXPECT_EQ(Believed(index, {1}, kNow + absl::Seconds(60)), 0);
}

TEST(prefix_index_test, MemoryIsBounded) {
  prefix_index index;
  prefix_policy policy;
  policy.most_prefixes = 100;
  for (uint64_t prefix = 1; prefix <= 1000; ++prefix) {
    for (int engine = 0; engine < 10; ++engine) {
      ExpectPrefixes(index, absl::StrCat("p", engine), {prefix}, policy, kNow);
    }
  }
  EXPECT_EQ(index.holders.size(), 100U);
  EXPECT_EQ(index.by_age.size(), 100U);
  EXPECT_THAT(LikelyHolders(index, {1000}, policy, kNow),
              ElementsAre("p6", "p7", "p8", "p9"));
}

}  // namespace
}  // namespace anvilridge
