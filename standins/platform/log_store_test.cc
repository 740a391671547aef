#include "platform/log_store.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr absl::Time kStart = absl::UnixEpoch();

TEST(log_store_test, OffsetsHaveNoGapsAndPagesAreBounded) {
  log_store store;
  EXPECT_EQ(AppendRecords(store, "s", {{"a", 1}, {"b", 2}}, kStart), 1);
  EXPECT_EQ(AppendRecords(store, "s", {{"c", 3}}, kStart), 3);
  EXPECT_EQ(AppendRecords(store, "other", {{"x", 1}}, kStart), 1);
  const stored_page page = ReadRecords(store, "s", 2, 1, kStart);
  ASSERT_EQ(page.records.size(), 1U);
  EXPECT_EQ(page.records[0].id, "b");
  EXPECT_EQ(page.next, 3);
  EXPECT_EQ(ReadRecords(store, "s", 9, 5, kStart).next, 4);
}

TEST(log_store_test, ForgetsByAgeAndSaysSinceWhenItIsComplete) {
  log_store store;
  store.settings.retention = absl::Seconds(10);
  AppendRecords(store, "s", {{"a", 1}}, kStart);
  AppendRecords(store, "s", {{"b", 1}}, kStart + absl::Seconds(5));
  EXPECT_EQ(ReadRecords(store, "s", 1, 9, kStart + absl::Seconds(10)).oldest,
            1);
  const stored_page page =
      ReadRecords(store, "s", 1, 9, kStart + absl::Seconds(11));
  EXPECT_EQ(page.oldest, 2);
  EXPECT_EQ(page.records.at(0).id, "b");
  EXPECT_GT(page.complete_since, kStart);
  EXPECT_LE(page.complete_since, page.records.at(0).time);
  const stored_page empty =
      ReadRecords(store, "s", 1, 9, kStart + absl::Hours(1));
  EXPECT_EQ(empty.oldest, 3);
  EXPECT_EQ(empty.next, 3);
}

TEST(log_store_test, LimitsTheRateOfAppends) {
  log_store store;
  store.settings.appends_per_second = 4;
  for (int i = 0; i < 4; ++i) EXPECT_TRUE(TakeAppend(store, kStart));
  EXPECT_FALSE(TakeAppend(store, kStart));
  EXPECT_TRUE(TakeAppend(store, kStart + absl::Milliseconds(250)));
  EXPECT_FALSE(TakeAppend(store, kStart + absl::Milliseconds(250)));
  EXPECT_EQ(store.appends_refused, 2);
}

}  // namespace
}  // namespace anvilridge
