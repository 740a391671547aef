#include "base/call_gate.h"

#include <vector>

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

using ::testing::ElementsAre;

TEST(call_gate_test, RunsAFewAtOnceAndTheOthersInOrder) {
  std::vector<int> started;
  std::vector<call_gate::release> running;
  call_gate gate(2);
  for (int i = 1; i <= 5; ++i) {
    gate.Run([&, i](call_gate::release release) {
      started.push_back(i);
      running.push_back(std::move(release));
    });
  }
  EXPECT_THAT(started, ElementsAre(1, 2));
  running[1]();
  EXPECT_THAT(started, ElementsAre(1, 2, 3));
  running[0]();
  running[2]();
  EXPECT_THAT(started, ElementsAre(1, 2, 3, 4, 5));
}

TEST(call_gate_test, CallMayEndAtOnceOrAfterTheGate) {
  int ended = 0;
  call_gate::release late;
  {
    call_gate gate(1);
    for (int i = 0; i < 3; ++i) {
      gate.Run([&](const call_gate::release& release) {
        ++ended;
        release();
      });
    }
    gate.Run([&](call_gate::release release) { late = std::move(release); });
    gate.Run([&](const call_gate::release&) { ++ended; });
  }
  late();
  EXPECT_EQ(ended, 3);
}

}  // namespace
}  // namespace anvilridge
