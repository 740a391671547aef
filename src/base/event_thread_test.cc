#include "base/event_thread.h"

#include <QCoreApplication>
#include <QThread>
#include <atomic>
#include <memory>

#include "base/event_loop.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

/// Counts its ends on another thread than that of `context`.
struct owned_state {
  QObject* context;
  std::atomic<int>* strayed;
  ~owned_state() {
    if (QThread::currentThread() != context->thread()) ++*strayed;
  }
};

TEST(event_thread_test, PostedTasksRunAndEndOnTheThread) {
  constexpr int kTasks = 2000;
  int count = 1;
  char name[] = "test";
  char* arguments[] = {name, nullptr};
  const QCoreApplication application(count, arguments);
  std::atomic<int> strayed{0};
  int ran = 0;
  {
    event_thread thread("worker");
    for (int i = 0; i < kTasks; ++i) {
      std::shared_ptr<owned_state> state(
          new owned_state{thread.Context(), &strayed});
      PostTo(thread.Context(), [&ran, state = std::move(state)] { ++ran; });
    }
  }
  EXPECT_EQ(ran, kTasks);
  EXPECT_EQ(strayed, 0);
}

}  // namespace
}  // namespace anvilridge
