#include "fleet/fleet_team.h"

#include "base/error_kind.h"
#include "fleet/fleet_config.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

std::vector<key_digest> Digests(const std::vector<std::string>& keys) {
  std::vector<key_digest> digests;
  digests.reserve(keys.size());
  for (const std::string& key : keys) digests.push_back(DigestOf(key));
  return digests;
}

fleet_team Team(absl::string_view name) {
  fleet_team team;
  team.name = std::string(name);
  return team;
}

// A configuration with the teams `north` (keys n1 and n2) and `south` (s1).
fleet_config Config() {
  fleet_config config;
  config.teams.needs_keys = true;
  AddTeam(config.teams, Team("north"), Digests({"n1", "n2"}));
  AddTeam(config.teams, Team("south"), Digests({"s1"}));
  return config;
}

caller_credential Key(absl::string_view key) {
  return {caller_credential::state::present, std::string(key)};
}

// Guards against a key that is taken for that of another team.
TEST(fleet_team_test, FindsTheTeamOfEachKey) {
  const fleet_config config = Config();
  EXPECT_THAT(config.teams.unusable, IsEmpty());
  for (const auto& [key, name] :
       {std::pair("n1", "north"), {"n2", "north"}, {"s1", "south"}}) {
    const fleet_team* team = FindTeamOfKey(config.teams, key);
    ASSERT_NE(team, nullptr) << key;
    EXPECT_EQ(team->name, name);
  }
  for (const char* key : {"", "n", "N1", "n1 ", "s2"}) {
    EXPECT_EQ(FindTeamOfKey(config.teams, key), nullptr) << key;
  }
}

// Guards against keys in the memory of the process, for example in a dump.
TEST(fleet_team_test, KeepsDigestsAndNoKeys) {
  const key_digest digest = DigestOf("abc");
  EXPECT_THAT(std::vector<int>(digest.begin(), digest.begin() + 4),
              ElementsAre(0xba, 0x78, 0x16, 0xbf));
  EXPECT_EQ(DigestOf("abc"), digest);
  EXPECT_NE(DigestOf("abd"), digest);
}

// Guards against a team that takes over the callers of another one.
TEST(fleet_team_test, AKeyStaysWithTheFirstTeam) {
  fleet_config config = Config();
  AddTeam(config.teams, Team("west"), Digests({"w1", "n1"}));
  EXPECT_EQ(FindTeamOfKey(config.teams, "n1")->name, "north");
  EXPECT_EQ(FindTeamOfKey(config.teams, "w1")->name, "west");
  EXPECT_THAT(config.teams.unusable,
              ElementsAre("team west has a key of team north"));
}

TEST(fleet_team_test, NotesTeamsThatCannotBeUsed) {
  fleet_config config = Config();
  AddTeam(config.teams, Team(""), Digests({"x1"}));
  AddTeam(config.teams, Team("north"), Digests({"x2"}));
  AddTeam(config.teams, Team("empty"), Digests({}));
  EXPECT_EQ(config.teams.teams.size(), 2u);
  for (const char* key : {"x1", "x2"}) {
    EXPECT_EQ(FindTeamOfKey(config.teams, key), nullptr) << key;
  }
  EXPECT_THAT(config.teams.unusable,
              ElementsAre("a team without a name", "team north is listed twice",
                          "team empty has no keys"));
}

// Guards against requests that are served without a key.
TEST(fleet_team_test, RoutesThatAreNotPublicNeedAKey) {
  const fleet_config config = Config();
  const fleet_route route;
  const auto known = IdentifyTeam(config, route, Key("s1"));
  ASSERT_TRUE(known.ok());
  EXPECT_EQ((*known)->name, "south");
  const std::vector<std::pair<caller_credential, error_kind>> cases = {
      {{}, error_kind::missing_credential},
      {Key("other"), error_kind::unknown_credential},
      {{caller_credential::state::malformed, ""},
       error_kind::unknown_credential},
      {{caller_credential::state::repeated, ""},
       error_kind::unknown_credential},
  };
  for (const auto& [credential, kind] : cases) {
    const auto refused = IdentifyTeam(config, route, credential);
    ASSERT_FALSE(refused.ok());
    EXPECT_EQ(KindOf(refused.status()), kind);
    EXPECT_EQ(RunStateOf(refused.status()), run_state::not_run);
  }
}

TEST(fleet_team_test, PublicRoutesNeedNoKey) {
  const fleet_config config = Config();
  fleet_route route;
  route.is_public = true;
  const auto none = IdentifyTeam(config, route, {});
  ASSERT_TRUE(none.ok());
  EXPECT_EQ(*none, nullptr);
  const auto unknown = IdentifyTeam(config, route, Key("other"));
  ASSERT_TRUE(unknown.ok());
  EXPECT_EQ(*unknown, nullptr);
  const auto known = IdentifyTeam(config, route, Key("n2"));
  ASSERT_TRUE(known.ok());
  EXPECT_EQ((*known)->name, "north");
}

// Guards against a change for deployments without teams.
TEST(fleet_team_test, AConfigurationWithoutTeamsNeedsNoKeys) {
  const auto team = IdentifyTeam(fleet_config(), fleet_route(), {});
  ASSERT_TRUE(team.ok());
  EXPECT_EQ(*team, nullptr);
}

// Guards against callers that are let in because no team can be used.
TEST(fleet_team_test, UnusableTeamsLetNobodyIn) {
  fleet_config config;
  config.teams.needs_keys = true;
  AddTeam(config.teams, Team("empty"), Digests({}));
  EXPECT_FALSE(IdentifyTeam(config, fleet_route(), Key("x")).ok());
}

TEST(fleet_team_test, CountsRequestsOrTokens) {
  usage_cap cap;
  EXPECT_EQ(UnitsOf(cap, 5200), 1);
  EXPECT_EQ(UnitsOf(cap, 0), 1);
  cap.counts_tokens = true;
  cap.plain_tokens = 200;
  EXPECT_EQ(UnitsOf(cap, 5200), 5200);
  EXPECT_EQ(UnitsOf(cap, 0), 200);
}

}  // namespace
}  // namespace anvilridge
