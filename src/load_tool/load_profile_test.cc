#include "load_tool/load_profile.h"

#include <fstream>
#include <sstream>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

std::string Example(const std::string& name) {
  const std::ifstream file(ANVIL_SOURCE_DIR "/examples/load/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST(load_profile_test, ExamplesHaveTheDeploymentsSizes) {
  const struct {
    std::string file;
    int model_engines;
  } cases[] = {{"blagajna.ini", 14}, {"thuan-phat.ini", 12}};
  for (const auto& row : cases) {
    const auto profile = ParseLoadProfile(Example(row.file));
    ASSERT_TRUE(profile.ok()) << profile.status();
    const fleet_size& fleet = profile->fleet;
    EXPECT_EQ(fleet.prefill_engines + fleet.decode_engines, row.model_engines);
    EXPECT_EQ(fleet.services, 3);
    EXPECT_EQ(fleet.slots, 20);
    EXPECT_EQ(fleet.pieces, 2000);
  }
}

TEST(load_profile_test, MistakesAreRefused) {
  for (const char* text :
       {"[completions]\nshares = 1", "[completions]\nshare = -1",
        "[completions]\nshare = 0", "[targets]\nfirst_token = 5",
        "[completions]\nmax_tokens_least = 9\nmax_tokens_most = 8", "share"}) {
    EXPECT_FALSE(ParseLoadProfile(text).ok()) << text;
  }
}

TEST(load_profile_test, CapacityFollowsFromSlotsAndOutput) {
  const auto profile = ParseLoadProfile(
      "[completions]\nmax_tokens_least = 100\nmax_tokens_most = 100\n"
      "[fleet]\ndecode_engines = 2\nslots = 11\ntoken_interval_ms = 10\n"
      "interval_growth = 0.1\noutput_share_min = 0.5\n");
  ASSERT_TRUE(profile.ok()) << profile.status();
  // 22 places, each used for 75 tokens of 20 ms.
  EXPECT_NEAR(DecodeCapacity(*profile), 22 / 1.5, 1e-9);
}

}  // namespace
}  // namespace anvilridge
