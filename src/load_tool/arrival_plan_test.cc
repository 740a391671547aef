#include "load_tool/arrival_plan.h"

#include <algorithm>
#include <map>
#include <set>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

load_profile Profile() {
  load_profile profile;
  profile.completions.share = 0.5;
  profile.completions.prefix_share = 1;
  profile.completions.prefixes = 2;
  profile.completions.prefix_tokens = 10;
  profile.services.postings = 0.5;
  return profile;
}

TEST(arrival_plan_test, SameSeedGivesTheSamePlan) {
  const auto plan = [](uint64_t seed) {
    std::string text;
    for (const auto& one :
         PlanArrivals(Profile(), 50, absl::Seconds(2), seed)) {
      text += absl::FormatDuration(one.at) + one.prompt;
    }
    return text;
  };
  EXPECT_EQ(plan(1), plan(1));
  EXPECT_NE(plan(1), plan(2));
}

TEST(arrival_plan_test, RateMixAndPrefixesAreThoseOfTheProfile) {
  const auto plan = PlanArrivals(Profile(), 100, absl::Seconds(100), 7);
  std::map<load_kind, int> counts;
  std::set<std::string> prefixes;
  for (const planned_request& one : plan) {
    ++counts[one.kind];
    if (one.kind != load_kind::completion) continue;
    if (one.prompt.size() >= 40) prefixes.insert(one.prompt.substr(0, 40));
    EXPECT_GE(one.max_tokens, 16);
    EXPECT_LE(one.max_tokens, 64);
  }
  // Five standard deviations of a Poisson count of 10,000.
  EXPECT_NEAR(counts[load_kind::completion], 10000, 500);
  EXPECT_NEAR(counts[load_kind::posting], 10000, 500);
  EXPECT_EQ(counts[load_kind::lookup], 0);
  EXPECT_EQ(prefixes.size(), 2U);
}

}  // namespace
}  // namespace anvilridge
