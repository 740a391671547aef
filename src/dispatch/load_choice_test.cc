#include "dispatch/load_choice.h"

#include <array>
#include <limits>
#include <vector>

#include "dispatch/testing/stale_choice_model.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
const absl::Time kNow = absl::FromUnixSeconds(1000);

// Returns how often each upstream is chosen, over evenly spaced draws.
std::vector<double> Shares(const std::vector<double>& costs, double unheard) {
  constexpr int kDraws = 10'000;
  std::vector<double> shares(costs.size());
  for (int i = 0; i < kDraws; ++i) {
    const auto chosen = ChooseByCost(costs, {unheard, (i + 0.5) / kDraws});
    ++shares[*chosen];
  }
  for (double& share : shares) share /= kDraws;
  return shares;
}

// Guards against upstreams that are overrun in turns: work that is not known
// yet goes where it levels the loads.
TEST(load_choice_test, UnheardWorkLevelsTheLoads) {
  const std::vector<double> shares = Shares({0, 900, 2500, 5200}, 3400);
  EXPECT_NEAR(shares[0], 2150.0 / 3400, 0.001);
  EXPECT_NEAR(shares[1], 1250.0 / 3400, 0.001);
  EXPECT_EQ(shares[2], 0);
  EXPECT_EQ(shares[3], 0);
}

TEST(load_choice_test, WithoutUnheardWorkTheLeastLoadedIsChosen) {
  EXPECT_EQ(Shares({3, 1, 2}, 0), (std::vector<double>{0, 1, 0}));
  const std::vector<double> equal = Shares({1, 1}, 0);
  EXPECT_NEAR(equal[0], 0.5, 0.001);
}

// Guards against choices that follow outdated loads.
TEST(load_choice_test, WithMuchUnheardWorkAllAreAboutEqual) {
  for (const double share : Shares({0, 3, 1, 2}, 1000)) {
    EXPECT_NEAR(share, 0.25, 0.01);
  }
}

TEST(load_choice_test, UpstreamsWithInfiniteCostAreNotChosen) {
  EXPECT_EQ(Shares({kInfinity, 7, kInfinity}, 1e6),
            (std::vector<double>{0, 1, 0}));
  const std::vector<double> none = {kInfinity, kInfinity};
  EXPECT_EQ(ChooseByCost(none, {10, 0.5}), std::nullopt);
  EXPECT_EQ(ChooseByCost({}, {10, 0.5}), std::nullopt);
}

// Guards against work that is lost between large costs.
TEST(load_choice_test, LargeCostsAreToldApart) {
  EXPECT_EQ(Shares({1e18, 1e18 + 1e4}, 0), (std::vector<double>{1, 0}));
  EXPECT_NEAR(Shares({3e6, 3e6}, 0)[0], 0.5, 0.001);
  EXPECT_NEAR(Shares({0, 0}, kInfinity)[0], 0.5, 0.001);
}

TEST(load_choice_test, TheRateFollowsTheWork) {
  work_rate rate;
  EXPECT_EQ(WorkPerSecond(rate, kNow), 0);
  absl::Time now = kNow;
  for (int i = 0; i < 3000; ++i) {
    now += absl::Milliseconds(20);
    RecordWork(rate, 4, now);
  }
  EXPECT_NEAR(WorkPerSecond(rate, now), 200, 2);
  EXPECT_LT(WorkPerSecond(rate, now + absl::Seconds(30)), 1);
}

// Guards against daemons that trust what a silent daemon said long ago.
TEST(load_choice_test, SilenceCountsAsUnheardWork) {
  EXPECT_EQ(UnheardTime(absl::Milliseconds(300)), absl::Milliseconds(20));
  EXPECT_EQ(UnheardTime(absl::Milliseconds(900)), absl::Milliseconds(900));
}

struct model_case {
  int daemons;
  int engines;
  double speed_ratio;
  bool engines_join;
};

class load_choice_model_test : public testing::TestWithParam<model_case> {
 protected:
  static constexpr int kPrompts = 6000;

  absl::Duration Wait(choice_policy policy, absl::Duration report_age) {
    choice_world world;
    world.daemons = GetParam().daemons;
    world.engines = GetParam().engines;
    world.speed_ratio = GetParam().speed_ratio;
    world.engines_join = GetParam().engines_join;
    world.report_age = report_age;
    return stale_choice_model(world).Simulate(policy, kPrompts).mean_wait;
  }
};

// Guards against waits that grow with the age of reports, and against a choice
// that is clearly worse than the ones weighed against it
// (docs/design/even-load.md).
TEST_P(load_choice_model_test, PromptsWaitAboutAsLittleAsByTheBestChoice) {
  for (const int age_ms : {10, 50, 200, 900}) {
    SCOPED_TRACE(age_ms);
    const absl::Duration age = absl::Milliseconds(age_ms);
    const absl::Duration wait = Wait(choice_policy::by_unheard_work, age);
    for (const choice_policy other :
         {choice_policy::least_reported, choice_policy::least_known,
          choice_policy::random_of_two, choice_policy::own_subset}) {
      EXPECT_LT(wait, 1.1 * Wait(other, age)) << static_cast<int>(other);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(deployments, load_choice_model_test,
                         testing::Values(model_case{34, 12, 1, false},
                                         model_case{34, 12, 1, true},
                                         model_case{72, 10, 2.4, false},
                                         model_case{370, 120, 1, false}));

}  // namespace
}  // namespace anvilridge
