#include "orphans/ownership_check.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

engine_request Row(const std::string& id, const std::string& owner,
                   absl::Duration age, bool attached) {
  engine_request row;
  row.request_id = id;
  row.owner = owner;
  row.age = age;
  row.attached = attached;
  return row;
}

// Daemon `stranger` is unknown; of all others, incarnation 2 is live.
std::optional<bool> IsLive(const owner_id& owner) {
  if (owner.daemon == "stranger") return std::nullopt;
  return owner.incarnation == 2;
}

TEST(ownership_check_test, QueriesLiveOwnersOfOldDetachedRequests) {
  denial_watch watch;
  std::vector<engine_request> listed = {
      Row("old", "a:2", absl::Seconds(3), false),
      Row("young", "a:2", absl::Seconds(2), false),
      Row("read", "a:2", absl::Hours(1), true),
      Row("dead", "a:1", absl::Hours(1), false),
      Row("strange", "stranger:2", absl::Hours(1), false),
      Row("garbage", "nobody", absl::Hours(1), false)};
  const auto queries = CollectOwnershipQueries(watch, listed, IsLive, {});
  ASSERT_EQ(queries.size(), 1U);
  EXPECT_EQ(queries[0].owner, (owner_id{"a", 2}));
  EXPECT_EQ(queries[0].request_ids, std::vector<std::string>{"old"});
  for (size_t i = 0; i < 2 * kMaxIdsPerOwnershipQuery; ++i) {
    listed.push_back(Row(std::to_string(i), "b:2", absl::Seconds(9), false));
  }
  EXPECT_EQ(
      CollectOwnershipQueries(watch, listed, IsLive, {})[1].request_ids.size(),
      kMaxIdsPerOwnershipQuery);
}

TEST(ownership_check_test, CancelsRequestsThatTheSameOwnerDeniesTwiceInARow) {
  denial_watch watch;
  const ownership_query a{{"a", 2}, {"r"}};
  const ownership_query b{{"b", 2}, {"r"}};
  const std::vector<std::string> none;
  EXPECT_EQ(ApplyOwnershipReply(watch, a, {}, {}), none);
  EXPECT_EQ(ApplyOwnershipReply(watch, a, {"r"}, {}), none) << "held after all";
  EXPECT_EQ(ApplyOwnershipReply(watch, a, {}, {}), none);
  EXPECT_EQ(ApplyOwnershipReply(watch, b, {}, {}), none) << "adopted meanwhile";
  const auto unlisted = CollectOwnershipQueries(watch, {}, IsLive, {});
  EXPECT_TRUE(unlisted.empty());
  EXPECT_EQ(ApplyOwnershipReply(watch, b, {}, {}), none) << "was not listed";
  EXPECT_EQ(ApplyOwnershipReply(watch, b, {}, {}),
            std::vector<std::string>{"r"});
}

}  // namespace
}  // namespace anvilridge
