// Prints how long prompts wait by the choices that docs/design/even-load.md
// compares, and the processor time of one choice.
#include <array>
#include <chrono>
#include <cstdio>
#include <vector>

#include "dispatch/testing/stale_choice_model.h"

namespace anvilridge {
namespace {

constexpr int kPrompts = 20'000;

struct named_policy {
  choice_policy policy;
  const char* name;
};
constexpr std::array kPolicies = {
    named_policy{choice_policy::least_reported, "least reported"},
    named_policy{choice_policy::least_known, "with own sends"},
    named_policy{choice_policy::random_of_two, "random of two"},
    named_policy{choice_policy::own_subset, "own subset"},
    named_policy{choice_policy::by_unheard_work, "by unheard work"},
};

void PrintWaits(const char* title, choice_world world) {
  std::printf("%s\n%-16s", title, "report age, ms");
  for (const named_policy& policy : kPolicies) {
    std::printf("%22s", policy.name);
  }
  std::printf("\n");
  for (const int age_ms : {10, 50, 200, 900}) {
    world.report_age = absl::Milliseconds(age_ms);
    std::printf("%-16d", age_ms);
    for (const named_policy& policy : kPolicies) {
      const choice_result result =
          stale_choice_model(world).Simulate(policy.policy, kPrompts);
      std::printf("%10.0f %5.0f %4.0f%%",
                  absl::ToDoubleMilliseconds(result.mean_wait),
                  absl::ToDoubleMilliseconds(result.wait_of_95),
                  100 * result.waited_beside_idle);
    }
    std::printf("\n");
  }
}

void PrintCost(int engines) {
  constexpr int kChoices = 200'000;
  std::vector<double> costs;
  costs.reserve(static_cast<size_t>(engines));
  for (int i = 0; i < engines; ++i) costs.push_back(i * 37 % 101);
  size_t sum = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kChoices; ++i) {
    sum += *ChooseByCost(costs, {50, 1.0 * i / kChoices});
  }
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - begin;
  std::printf("one choice among %d: %.2f us (%zu)\n", engines,
              took.count() / kChoices, sum);
}

}  // namespace
}  // namespace anvilridge

int main() {
  using anvilridge::choice_world;
  std::printf("mean wait, wait of 95 in 100 (ms), waited beside an idle one\n");
  choice_world world;
  anvilridge::PrintWaits("34 daemons, 12 engines", world);
  world.engines_join = true;
  anvilridge::PrintWaits("the same, a quarter of the engines joins", world);
  world = {};
  world.daemons = 72;
  world.engines = 10;
  world.speed_ratio = 2.4;
  anvilridge::PrintWaits("72 daemons, 10 engines, speeds 1 to 2.4", world);
  world = {};
  world.daemons = 370;
  world.engines = 120;
  anvilridge::PrintWaits("370 daemons, 120 engines", world);
  for (const int engines : {12, 44, 256}) anvilridge::PrintCost(engines);
  return 0;
}
