#include "daemon/operator_cancels.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST(operator_cancels_test, OnlyNewCancelsCountAndOnlyForAWhile) {
  const absl::Time start = absl::FromUnixSeconds(1000);
  operator_cancels cancels;
  config_state config;
  config.cancels = {{"old", 3}};
  TakeCancels(cancels, config, start);
  config.cancels.push_back({"r1", 4});
  TakeCancels(cancels, config, start);
  TakeCancels(cancels, config, start + kCancelLife / 2);
  EXPECT_FALSE(IsCancelled(cancels, "old.1", start));
  EXPECT_TRUE(IsCancelled(cancels, "r1.1", start));
  EXPECT_TRUE(IsCancelled(cancels, "r1.2", start));
  EXPECT_FALSE(IsCancelled(cancels, "r12.1", start));
  EXPECT_FALSE(IsCancelled(cancels, "r1.1", start + kCancelLife));
}

}  // namespace
}  // namespace anvilridge
