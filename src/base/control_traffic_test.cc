#include "base/control_traffic.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST(control_traffic_test, CountsByChannelAndDirection) {
  using enum control_channel;
  using enum traffic_direction;
  const int64_t before = ControlBytes();
  const int64_t before_out = ControlBytes(peers, sent);
  CountControlBytes(peers, sent, 7);
  CountControlBytes(peers, received, 20);
  CountControlBytes(membership, sent, 300);
  EXPECT_EQ(ControlBytes(peers, sent) - before_out, 7);
  EXPECT_EQ(ControlBytes() - before, 327);
}

}  // namespace
}  // namespace anvilridge
