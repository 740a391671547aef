// Load pattern: connections to sound engines are reset, or their responses
// lost.
#include "dispatch/broken_send.h"

#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

broken_send Broken(send_outcome outcome, engine_condition condition) {
  broken_send broken;
  broken.engine.id = "e1";
  broken.outcome = outcome;
  broken.condition = condition;
  return broken;
}

TEST(broken_send_test, OnlyAnEngineThatLivesKeepsThePrompt) {
  for (const auto condition :
       {engine_condition::alive, engine_condition::crashed,
        engine_condition::unknown}) {
    EXPECT_EQ(KeepsPrompt(Broken(send_outcome::unknown, condition), {"e1"}),
              condition == engine_condition::alive)
        << EngineConditionName(condition);
  }
}

// An engine that refused the request or was not reached never had the prompt.
TEST(broken_send_test, OnlyASendOfUnknownFateLeavesThePrompt) {
  for (const auto outcome : {send_outcome::answered, send_outcome::refused,
                             send_outcome::unsent, send_outcome::unknown}) {
    EXPECT_EQ(KeepsPrompt(Broken(outcome, engine_condition::alive), {"e1"}),
              outcome == send_outcome::unknown)
        << SendOutcomeName(outcome);
  }
}

// Guards against a faulty engine that has all attempts of a request.
TEST(broken_send_test, AnEngineIsReturnedToOnce) {
  const broken_send broken =
      Broken(send_outcome::unknown, engine_condition::alive);
  EXPECT_TRUE(KeepsPrompt(broken, std::vector<std::string>{"e2", "e1"}));
  EXPECT_FALSE(KeepsPrompt(broken, std::vector<std::string>{"e1", "e1"}));
}

}  // namespace
}  // namespace anvilridge
