#include "dispatch/engine_choice.h"

#include <random>
#include <set>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

std::vector<fleet_upstream> Engines(int count) {
  std::vector<fleet_upstream> engines(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    engines[static_cast<size_t>(i)].id = "prefill-" + std::to_string(i);
    engines[static_cast<size_t>(i)].failure_domain = i % 2 == 0 ? "a" : "b";
  }
  return engines;
}

std::vector<prefill_candidate> Idle(
    const std::vector<fleet_upstream>& engines) {
  std::vector<prefill_candidate> candidates;
  candidates.reserve(engines.size());
  for (const fleet_upstream& engine : engines) {
    candidates.push_back({&engine, 0});
  }
  return candidates;
}

// Guards against a herd in a burst: 40 daemons that observe the same idle
// engines at the same moment must not all choose the same one.
TEST(engine_choice_test, DaemonsSpreadPromptsOverIdleEngines) {
  const std::vector<fleet_upstream> engines = Engines(8);
  std::mt19937 random(1);
  std::uniform_real_distribution<double> draw;
  std::set<size_t> chosen;
  for (int daemon = 0; daemon < 40; ++daemon) {
    chosen.insert(
        *ChoosePrefill(Idle(engines), 5000, "a", {1000, draw(random)}));
  }
  EXPECT_EQ(chosen, (std::set<size_t>{0, 2, 4, 6}));
}

// Guards against engines of other failure domains that stay idle while those of
// one are overrun by prompts that are not reported yet.
TEST(engine_choice_test, ManyUnheardPromptsReachOtherDomains) {
  const std::vector<fleet_upstream> engines = Engines(8);
  EXPECT_EQ(ChoosePrefill(Idle(engines), 5000, "a", {60'000, 0.05}), 0u);
  EXPECT_EQ(ChoosePrefill(Idle(engines), 5000, "a", {60'000, 0.999}), 7u);
}

TEST(engine_choice_test, ChoosesAnEngineWithAClearlySmallerBacklog) {
  const std::vector<fleet_upstream> engines = Engines(3);
  const std::vector<prefill_candidate> candidates = {{&engines[0], 9000},
                                                     {&engines[2], 5000}};
  for (const double draw : {0.0, 0.5, 0.999}) {
    EXPECT_EQ(ChoosePrefill(candidates, 5000, "a", {1000, draw}), 1u);
  }
}

}  // namespace
}  // namespace anvilridge
