#include "daemon/stop_signal.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <csignal>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST(stop_signal_test, SignalsBecomeCallsOnTheLoop) {
  constexpr int kPatienceMs = 5000;
  int count = 1;
  char name[] = "test";
  char* arguments[] = {name, nullptr};
  const QCoreApplication application(count, arguments);
  int stops = 0;
  const stop_signal stop([&stops] { ++stops; });
  for (const int number : {SIGTERM, SIGINT}) {
    const int before = stops;
    ASSERT_EQ(std::raise(number), 0);
    EXPECT_EQ(stops, before);
    QElapsedTimer clock;
    clock.start();
    while (stops == before && clock.elapsed() < kPatienceMs) {
      QCoreApplication::processEvents();
    }
    EXPECT_EQ(stops, before + 1);
  }
}

}  // namespace
}  // namespace anvilridge
