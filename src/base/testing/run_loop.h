#ifndef ANVILRIDGE_BASE_TESTING_RUN_LOOP_H_
#define ANVILRIDGE_BASE_TESTING_RUN_LOOP_H_

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>
#include <functional>
#include <string>

#include "absl/time/time.h"
#include "base/clock.h"
#include "gtest/gtest.h"

namespace anvilridge {

/// Makes the application object that event loops of tests need, once.
inline void EnsureTestApplication() {
  static int argc = 1;
  static std::string name = "test";
  static char* argv[] = {name.data(), nullptr};
  static auto* application = new QCoreApplication(argc, argv);
  (void)application;
}

/// Runs the event loop until `done` holds or `limit` has passed; returns
/// whether it holds.
inline bool RunUntil(const std::function<bool()>& done,
                     absl::Duration limit = absl::Seconds(10)) {
  EnsureTestApplication();
  const absl::Time deadline = MonotonicNow() + limit;
  QEventLoop loop;
  QTimer poll;
  QObject::connect(&poll, &QTimer::timeout, [&] {
    if (done() || MonotonicNow() >= deadline) loop.quit();
  });
  poll.start(std::chrono::milliseconds(1));
  loop.exec();
  return done();
}

/// Base of tests that run an event loop.
class event_loop_test : public testing::Test {
 protected:
  event_loop_test() { EnsureTestApplication(); }
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_TESTING_RUN_LOOP_H_
