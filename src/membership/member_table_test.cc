#include "membership/member_table.h"

#include <gtest/gtest.h>

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr absl::Duration kLease = absl::Seconds(5);

member_update Update(absl::string_view name, uint64_t incarnation,
                     member_state state = member_state::alive,
                     uint32_t refutation = 0) {
  member_update update;
  update.id = {std::string(name), incarnation};
  update.state = state;
  update.refutation = refutation;
  return update;
}

struct merge_case {
  const char* name;
  member_update recorded;
  member_update received;
  bool accepted;
};

TEST(member_table, UpdateWithHigherPrecedenceIsAccepted) {
  using enum member_state;
  const merge_case cases[] = {
      {"same", Update("b", 2), Update("b", 2), false},
      {"suspect over alive", Update("b", 2), Update("b", 2, suspect), true},
      {"alive under suspect", Update("b", 2, suspect), Update("b", 2), false},
      {"refuted suspicion", Update("b", 2, suspect), Update("b", 2, alive, 1),
       true},
      {"stale suspicion", Update("b", 2, alive, 1), Update("b", 2, suspect),
       false},
      {"dead over suspect", Update("b", 2, suspect), Update("b", 2, dead),
       true},
      {"dead over a later refutation", Update("b", 2, alive, 7),
       Update("b", 2, dead), true},
      {"no refutation of a verdict", Update("b", 2, dead),
       Update("b", 2, alive, 9), false},
      {"left over dead", Update("b", 2, dead), Update("b", 2, left), true},
      {"dead under left", Update("b", 2, left), Update("b", 2, dead), false},
      {"restart after a verdict", Update("b", 2, left), Update("b", 3), true},
      {"verdict on an earlier incarnation", Update("b", 3),
       Update("b", 2, dead), false},
  };
  for (const merge_case& c : cases) {
    member_table table = MakeMemberTable(Update("a", 1), kStart);
    MergeUpdate(table, c.recorded, kStart);
    const merge_result result =
        MergeUpdate(table, c.received, kStart + absl::Seconds(1));
    EXPECT_EQ(result == merge_result::changed, c.accepted) << c.name;
    const member_update& merged = table.members.find("b")->second.update;
    const member_update& expected = c.accepted ? c.received : c.recorded;
    EXPECT_EQ(merged.state, expected.state) << c.name;
    EXPECT_EQ(merged.id, expected.id) << c.name;
  }
}

TEST(member_table, SelfRefutesSuspicionAndKeepsItsIncarnation) {
  member_table table = MakeMemberTable(Update("a", 5), kStart);
  EXPECT_EQ(MergeUpdate(table, Update("a", 4, member_state::dead), kStart),
            merge_result::ignored);
  EXPECT_EQ(
      MergeUpdate(table, Update("a", 5, member_state::suspect, 3), kStart),
      merge_result::refuted);
  EXPECT_EQ(SelfEntry(table).update.id.incarnation, 5u);
  EXPECT_EQ(SelfEntry(table).update.refutation, 4u);
  EXPECT_EQ(MergeUpdate(table, Update("a", 5, member_state::dead), kStart),
            merge_result::self_expired);
  EXPECT_EQ(MergeUpdate(table, Update("a", 6), kStart),
            merge_result::self_expired);
}

TEST(member_table, LeavingAndConfigOffsetAreKeptWithinAnIncarnation) {
  member_table table = MakeMemberTable(Update("a", 1), kStart);
  member_update b = Update("b", 1);
  b.leaving = true;
  b.config_offset = 7;
  MergeUpdate(table, b, kStart);
  MergeUpdate(table, Update("b", 1, member_state::suspect), kStart);
  const member_entry& entry = table.members.find("b")->second;
  EXPECT_TRUE(entry.update.leaving);
  EXPECT_EQ(entry.update.config_offset, 7);
  MergeUpdate(table, Update("b", 2), kStart);
  EXPECT_FALSE(entry.update.leaving);
}

TEST(member_table, OwnerMayActUntilALeaseAfterTheVerdict) {
  member_table table = MakeMemberTable(Update("a", 1), kStart);
  const owner_id owner{"b", 4};
  const absl::Time lease_end = kStart + kLease;
  const absl::Time before_lease_end = lease_end - absl::Nanoseconds(1);
  EXPECT_EQ(OwnerLiveness(table, owner, kLease, kStart), std::nullopt);
  MergeUpdate(table, Update("b", 4, member_state::suspect), kStart);
  EXPECT_EQ(OwnerLiveness(table, owner, kLease, lease_end), true);
  EXPECT_EQ(OwnerLiveness(table, {"b", 5}, kLease, lease_end), std::nullopt);
  MergeUpdate(table, Update("b", 4, member_state::dead), kStart);
  EXPECT_EQ(OwnerLiveness(table, owner, kLease, before_lease_end), true);
  EXPECT_EQ(OwnerLiveness(table, owner, kLease, lease_end), false);
  MergeUpdate(table, Update("b", 6), lease_end);
  EXPECT_EQ(OwnerLiveness(table, owner, kLease, lease_end), true);
  EXPECT_EQ(OwnerLiveness(table, owner, kLease, lease_end + kLease), false);
  EXPECT_EQ(OwnerLiveness(table, {"b", 6}, kLease, lease_end + kLease), true);
  MergeUpdate(table, Update("b", 6, member_state::left), lease_end);
  EXPECT_EQ(OwnerLiveness(table, {"b", 6}, kLease, lease_end), false);
}

TEST(member_table, VerdictsAreRemovedByTheirOwnAge) {
  member_table table = MakeMemberTable(Update("a", 1), kStart);
  member_update old = Update("b", 1, member_state::dead);
  old.verdict_age = absl::Seconds(50);
  MergeUpdate(table, old, kStart);
  RemoveOldVerdicts(table, absl::Minutes(1), kStart + absl::Seconds(10));
  EXPECT_TRUE(table.members.contains("b"));
  RemoveOldVerdicts(table, absl::Minutes(1), kStart + absl::Seconds(11));
  EXPECT_FALSE(table.members.contains("b"));
  EXPECT_TRUE(table.members.contains("a"));
}

}  // namespace
}  // namespace anvilridge
