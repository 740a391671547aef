#include "membership/home_map.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

TEST(home_map, SpreadsEvenlyAndMovesOnlyResourcesOfARemovedDaemon) {
  constexpr int kResources = 4000;
  const std::vector<std::string> all_daemons = {"d1", "d2", "d3", "d4"};
  const std::vector<std::string> without_d3 = {"d4", "d1", "d2"};
  std::map<std::string, int, std::less<>> resources_per_daemon;
  for (int i = 0; i < kResources; ++i) {
    const std::string resource = absl::StrCat("engine-", i);
    const absl::string_view home = HomeOf(resource, all_daemons);
    ++resources_per_daemon[std::string(home)];
    if (home != "d3") {
      EXPECT_EQ(HomeOf(resource, without_d3), home);
    }
  }
  for (const std::string& name : all_daemons) {
    EXPECT_NEAR(resources_per_daemon[name], kResources / 4.0, kResources / 20.0)
        << name;
  }
  EXPECT_EQ(HomeOf("engine-1", {}), "");
}

}  // namespace
}  // namespace anvilridge
