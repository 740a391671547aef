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

// Guards against a herd in a burst: 40 daemons that observe the same idle
// engines at the same moment must not all choose the same one.
TEST(engine_choice_test, DaemonsSpreadPromptsOverIdleEngines) {
  const std::vector<fleet_upstream> engines = Engines(8);
  std::mt19937 random(1);
  std::uniform_real_distribution<double> draw;
  std::set<size_t> chosen;
  for (int daemon = 0; daemon < 40; ++daemon) {
    std::vector<prefill_candidate> candidates;
    candidates.reserve(engines.size());
    for (const fleet_upstream& engine : engines) {
      candidates.push_back({&engine, 0, draw(random)});
    }
    chosen.insert(*ChoosePrefill(candidates, 5000, "a"));
  }
  EXPECT_EQ(chosen, (std::set<size_t>{0, 2, 4, 6}));
}

TEST(engine_choice_test, ChoosesAnEngineWithAClearlySmallerBacklog) {
  const std::vector<fleet_upstream> engines = Engines(3);
  const std::vector<prefill_candidate> candidates = {{&engines[0], 9000, 0},
                                                     {&engines[2], 5000, 1}};
  EXPECT_EQ(ChoosePrefill(candidates, 5000, "a"), 1u);
}

}  // namespace
}  // namespace anvilridge
