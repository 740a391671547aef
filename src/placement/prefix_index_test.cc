#include "placement/prefix_index.h"

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

using ::testing::ElementsAre;

const absl::Time kNow = absl::UnixEpoch();
const prefix_index_policy kPolicy;

cache_event Event(int64_t seq, bool stored, uint64_t prefix) {
  return {seq, stored, absl::StrCat(absl::Hex(prefix, absl::kZeroPad16))};
}

// Returns events that store the prefixes 1 to `count`, each with the prefix as
// its sequence number.
cache_events StoredEvents(int count) {
  cache_events reply;
  for (int i = 1; i <= count; ++i) reply.events.push_back(Event(i, true, i));
  reply.last_seq = count;
  return reply;
}

int CachedBlocks(const prefix_index& index,
                 const std::vector<uint64_t>& prefixes, absl::Time now = kNow) {
  return EstimateCachedBlocks(index, "p1", prefixes, kPolicy, now);
}

TEST(prefix_index_test, CountsLeadingCachedBlocks) {
  prefix_index index;
  ApplyCacheEvents(index, "p1", StoredEvents(8), kPolicy, kNow);
  ApplyCacheEvents(index, "p1", {{Event(9, false, 3)}, 9}, kPolicy, kNow);
  struct {
    std::vector<uint64_t> prefixes;
    int blocks;
  } const cases[] = {
      {{1, 2}, 2},
      {{2, 1, 50}, 2},
      {{50, 51, 1}, 0},
      // One unrecorded block counts as cached, two in a row do not.
      {{1, 2, 3, 4, 5}, 5},
      {{1, 50, 51, 4}, 1},
      {{}, 0},
  };
  for (const auto& test_case : cases) {
    EXPECT_EQ(CachedBlocks(index, test_case.prefixes), test_case.blocks);
  }
  EXPECT_EQ(EstimateCachedBlocks(index, "p2", {1, 2}, kPolicy, kNow), 0);
  EXPECT_THAT(FindLikelyHolders(index, {1}, kPolicy, kNow), ElementsAre("p1"));
}

TEST(prefix_index_test, SmallGapsAreToleratedAndLargeOnesMakeEntriesSuspect) {
  struct {
    int missed_events;
    int blocks;
  } const cases[] = {{0, 2}, {10, 2}, {11, 0}, {10000, 0}};
  for (const auto& test_case : cases) {
    SCOPED_TRACE(test_case.missed_events);
    prefix_index index;
    ApplyCacheEvents(index, "p1", StoredEvents(19), kPolicy, kNow);
    const int64_t seq = 20 + test_case.missed_events;
    ApplyCacheEvents(index, "p1", {{Event(seq, true, 70)}, seq}, kPolicy, kNow);
    EXPECT_EQ(CachedBlocks(index, {1, 2}), test_case.blocks);
    // An entry made after the gap is not suspect.
    EXPECT_EQ(CachedBlocks(index, {70}), 1);
  }
}

TEST(prefix_index_test, FirstReplyAndRepeatedEventsAreNoGap) {
  prefix_index index;
  ApplyCacheEvents(index, "p1", {{}, 5000}, kPolicy, kNow);
  ApplyCacheEvents(index, "p1",
                   {{Event(5000, true, 9), Event(5001, true, 1)}, 5001},
                   kPolicy, kNow);
  EXPECT_EQ(index.feeds.at("p1").missed_events, 0);
  EXPECT_EQ(CachedBlocks(index, {1}), 1);
  EXPECT_EQ(CachedBlocks(index, {9}), 0);
}

TEST(prefix_index_test, RestartedFeedDiscardsEarlierEntries) {
  prefix_index index;
  ApplyCacheEvents(index, "p1", StoredEvents(8), kPolicy, kNow);
  ApplyCacheEvents(index, "p1", {{Event(1, true, 1)}, 1}, kPolicy, kNow);
  EXPECT_EQ(CachedBlocks(index, {1}), 1);
  EXPECT_EQ(CachedBlocks(index, {4}), 0);
  RemoveEngine(index, "p1");
  EXPECT_THAT(FindLikelyHolders(index, {1}, kPolicy, kNow), ElementsAre());
}

// The event of an eviction that preceded a prefill arrives after the prefill
// was placed, followed by the event that stores the prefix again.
TEST(prefix_index_test, LastEventDecidesWhetherAPrefixIsCached) {
  prefix_index index;
  ApplyCacheEvents(index, "p1", StoredEvents(1), kPolicy, kNow);
  RecordExpectedPrefixes(index, "p1", {1}, kPolicy, kNow);
  ApplyCacheEvents(index, "p1", {{Event(2, false, 1)}, 2}, kPolicy, kNow);
  EXPECT_EQ(CachedBlocks(index, {1}), 0);
  ApplyCacheEvents(index, "p1", {{Event(3, true, 1)}, 3}, kPolicy, kNow);
  EXPECT_EQ(CachedBlocks(index, {1}), 1);
}

TEST(prefix_index_test, EntriesExpireSoonerWithoutEvents) {
  prefix_index index;
  RecordExpectedPrefixes(index, "p1", {1}, kPolicy, kNow);
  EXPECT_EQ(CachedBlocks(index, {1}, kNow + absl::Seconds(2.9)), 1);
  EXPECT_EQ(CachedBlocks(index, {1}, kNow + absl::Seconds(3)), 0);
  ApplyCacheEvents(index, "p1", {{}, 5000}, kPolicy, kNow);
  RecordExpectedPrefixes(index, "p1", {1}, kPolicy, kNow);
  EXPECT_EQ(CachedBlocks(index, {1}, kNow + absl::Seconds(59)), 1);
  EXPECT_EQ(CachedBlocks(index, {1}, kNow + absl::Seconds(60)), 0);
}

TEST(prefix_index_test, SizeIsBounded) {
  prefix_index index;
  prefix_index_policy policy;
  policy.max_prefixes = 100;
  for (uint64_t prefix = 1; prefix <= 1000; ++prefix) {
    for (int engine = 0; engine < 10; ++engine) {
      RecordExpectedPrefixes(index, absl::StrCat("p", engine), {prefix}, policy,
                             kNow);
    }
  }
  EXPECT_EQ(index.holders.size(), 100U);
  EXPECT_EQ(index.insertion_order.size(), 100U);
  EXPECT_THAT(FindLikelyHolders(index, {1000}, policy, kNow),
              ElementsAre("p6", "p7", "p8", "p9"));
}

}  // namespace
}  // namespace anvilridge
