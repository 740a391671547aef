#include "base/event_loop.h"

#include "base/testing/run_loop.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

class event_loop_timer_test : public event_loop_test {};

// Guards against time limits that never fire because they had passed when their
// timer was set.
TEST_F(event_loop_timer_test, ATaskThatIsOverdueRunsAtOnce) {
  QObject context;
  bool done = false;
  RunAfter(&context, absl::Milliseconds(-5), [&] { done = true; });
  EXPECT_TRUE(RunUntil([&] { return done; }, absl::Seconds(1)));
}

}  // namespace
}  // namespace anvilridge
