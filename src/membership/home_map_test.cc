#include "membership/home_map.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

TEST(home_map, SpreadsAndMovesOnlyWhatItMust) {
  constexpr int kResources = 4000;
  const std::vector<std::string> four = {"d1", "d2", "d3", "d4"};
  const std::vector<std::string> three = {"d4", "d1", "d2"};
  std::map<std::string, int, std::less<>> count;
  for (int i = 0; i < kResources; ++i) {
    const std::string resource = absl::StrCat("engine-", i);
    const absl::string_view home = HomeOf(resource, four);
    ++count[std::string(home)];
    if (home != "d3") {
      EXPECT_EQ(HomeOf(resource, three), home);
    }
  }
  for (const std::string& name : four) {
    EXPECT_NEAR(count[name], kResources / 4.0, kResources / 20.0) << name;
  }
  EXPECT_EQ(HomeOf("engine-1", {}), "");
}

}  // namespace
}  // namespace anvilridge
