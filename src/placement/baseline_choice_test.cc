#include "placement/baseline_choice.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

struct three_engines {
  upstream_config a, b, c;
  std::vector<const upstream_config*> all{&c, &a, &b};

  three_engines() {
    a.name = "a";
    b.name = "b";
    c.name = "c";
  }
};

TEST(baseline_choice_test, RoundRobinStartsWithEachEngineInTurn) {
  const three_engines engines;
  uint64_t turn = 0;
  std::string order;
  for (int i = 0; i < 6; ++i) {
    order += RoundRobinOrder(engines.all, turn).front()->name;
  }
  EXPECT_EQ(order, "abcabc");
}

TEST(baseline_choice_test, LeastLoadedSortsByQueuedTokensThenSlots) {
  const three_engines engines;
  engine_loads loads;
  loads["a"].queued_tokens = 1;
  loads["b"].slots_used = 9;
  loads["c"].slots_used = 8;
  std::mt19937_64 random(1);
  std::string order;
  for (const auto* engine : LeastLoadedOrder(engines.all, loads, random)) {
    order += engine->name;
  }
  EXPECT_EQ(order, "cba");
}

}  // namespace
}  // namespace anvilridge
