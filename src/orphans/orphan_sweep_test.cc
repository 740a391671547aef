#include "orphans/orphan_sweep.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::UnixEpoch();

engine_request Row(const std::string& id, const std::string& owner) {
  engine_request row;
  row.request_id = id;
  row.owner = owner;
  return row;
}

// Daemon `stranger` is unknown; of all others, incarnation 2 is live.
std::optional<bool> IsLive(const owner_id& owner) {
  if (owner.daemon == "stranger") return std::nullopt;
  return owner.incarnation == 2;
}

struct sweep_case {
  const char* name;
  const char* owner;
  absl::Duration after;
  bool cancelled;
};

class orphan_sweep_test : public testing::TestWithParam<sweep_case> {};

TEST_P(orphan_sweep_test, CancelsOnlyRequestsWithoutALiveOwnerAfterTheGrace) {
  const sweep_case& c = GetParam();
  orphan_watch watch;
  const std::vector<engine_request> listed = {Row("r1", c.owner)};
  EXPECT_TRUE(FindOrphans(watch, listed, IsLive, {}, kStart).empty());
  const auto orphans = FindOrphans(watch, listed, IsLive, {}, kStart + c.after);
  EXPECT_EQ(!orphans.empty(), c.cancelled);
  for (const auto& [id, orphan] : watch.watched) {
    EXPECT_EQ(orphan.owner, c.owner) << id;
  }
}

INSTANTIATE_TEST_SUITE_P(
    cases, orphan_sweep_test,
    testing::Values(
        sweep_case{"live", "a:2", absl::Hours(1), false},
        sweep_case{"dead_in_grace", "a:1", absl::Seconds(2), false},
        sweep_case{"dead_past_grace", "a:1", absl::Seconds(3), true},
        sweep_case{"stranger_in_grace", "stranger:1", absl::Seconds(14), false},
        sweep_case{"stranger_past_grace", "stranger:1", absl::Seconds(15),
                   true},
        sweep_case{"garbage_owner", "nobody", absl::Seconds(15), true}),
    [](const auto& tested) { return tested.param.name; });

TEST(orphan_sweep_adoption_test, AdoptedRequestGetsANewGracePeriod) {
  orphan_watch watch;
  FindOrphans(watch, {Row("r1", "a:1")}, IsLive, {}, kStart);
  FindOrphans(watch, {Row("r1", "b:2")}, IsLive, {}, kStart + absl::Seconds(2));
  const auto orphans = FindOrphans(watch, {Row("r1", "b:1")}, IsLive, {},
                                   kStart + absl::Seconds(4));
  EXPECT_TRUE(orphans.empty());
}

}  // namespace
}  // namespace anvilridge
