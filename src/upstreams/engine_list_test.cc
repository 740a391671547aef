#include "upstreams/engine_list.h"

#include <gtest/gtest.h>

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000);
constexpr absl::Duration kInterval = absl::Milliseconds(25);

engine_request Row(const std::string& id, engine_phase phase, int generated) {
  engine_request row;
  row.request_id = id;
  row.phase = phase;
  row.generated = generated;
  row.max_tokens = 100;
  return row;
}

const engine_list kWhole = {
    "7",
    "",
    {Row("a", engine_phase::decode, 10), Row("b", engine_phase::transfer, 0),
     Row("c", engine_phase::decode, 90)},
    {}};

TEST(engine_list_test, ChangesBringTheRowsUpToDate) {
  listed_requests known;
  ASSERT_TRUE(TakeEngineList(known, kWhole, kInterval, kStart).ok());
  EXPECT_EQ(VersionToAsk(known, kStart), "7");
  const engine_list changes = {
      "8", "7", {Row("d", engine_phase::queued, 0)}, {"a"}};
  const auto rows =
      TakeEngineList(known, changes, kInterval, kStart + absl::Seconds(1));
  ASSERT_TRUE(rows.ok());
  ASSERT_EQ(rows->size(), 3U);
  EXPECT_EQ(rows->at(0).request_id, "b");
  EXPECT_EQ(rows->at(0).generated, 0);
  EXPECT_EQ(rows->at(0).age, absl::Seconds(1));
  // 40 tokens in a second, but no more than it may make.
  EXPECT_EQ(rows->at(1).generated, 100);
  EXPECT_EQ(rows->at(2).request_id, "d");
  EXPECT_EQ(VersionToAsk(known, kStart + absl::Seconds(1)), "8");
}

TEST(engine_list_test, WholeListReplacesAllAndOtherChangesAreRefused) {
  listed_requests known;
  ASSERT_TRUE(TakeEngineList(known, kWhole, kInterval, kStart).ok());
  // An engine that restarted, or that does not know of changes.
  const engine_list restarted = {
      "", "", {Row("e", engine_phase::decode, 1)}, {}};
  const auto rows = TakeEngineList(known, restarted, kInterval, kStart);
  ASSERT_TRUE(rows.ok());
  ASSERT_EQ(rows->size(), 1U);
  EXPECT_EQ(VersionToAsk(known, kStart), "");
  const engine_list other = {"9", "8", {}, {}};
  EXPECT_FALSE(TakeEngineList(known, other, kInterval, kStart).ok());
  EXPECT_EQ(VersionToAsk(known, kStart), "");
}

TEST(engine_list_test, WholeListIsAskedForNowAndThen) {
  listed_requests known;
  ASSERT_TRUE(TakeEngineList(known, kWhole, kInterval, kStart).ok());
  EXPECT_EQ(VersionToAsk(known, kStart + absl::Seconds(29)), "7");
  EXPECT_EQ(VersionToAsk(known, kStart + absl::Seconds(30)), "");
}

}  // namespace
}  // namespace anvilridge
