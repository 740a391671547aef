#include "caller/room_choice.h"

#include <vector>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

held_connection Connection(int64_t kilobytes, int idle_ms) {
  return {kilobytes << 10, kNow - absl::Milliseconds(idle_ms)};
}

// Bodies that stop just short of their end beside one that arrives: guards
// against the latter being refused for the sake of the former.
TEST(room_choice_test, EndsTheLargestThatMakesNoProgress) {
  const std::vector<held_connection> connections = {
      Connection(4000, 10), Connection(900, 3000), Connection(1000, 400),
      Connection(800, 9000)};
  EXPECT_EQ(ChooseConnectionToEnd(connections, kNow), 2u);
}

// Guards against slow but sound callers that are cut.
TEST(room_choice_test, EndsNoneThatMakesProgress) {
  const std::vector<held_connection> connections = {Connection(4000, 0),
                                                    Connection(3000, 240)};
  EXPECT_EQ(ChooseConnectionToEnd(connections, kNow), std::nullopt);
  EXPECT_EQ(ChooseConnectionToEnd({}, kNow), std::nullopt);
}

// Guards against ordinary callers at rest that are cut for a few bytes.
TEST(room_choice_test, EndsNoneThatHoldsLittle) {
  const std::vector<held_connection> connections = {Connection(0, 60'000),
                                                    Connection(4, 60'000)};
  EXPECT_EQ(ChooseConnectionToEnd(connections, kNow), std::nullopt);
}

}  // namespace
}  // namespace anvilridge
