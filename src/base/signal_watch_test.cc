#include "base/signal_watch.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <csignal>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST(signal_watch_test, SignalsBecomeCallsOnTheLoop) {
  constexpr int kPatienceMs = 5000;
  int count = 1;
  char name[] = "test";
  char* arguments[] = {name, nullptr};
  const QCoreApplication application(count, arguments);
  int stops = 0;
  const signal_watch stop({SIGTERM, SIGINT}, [&stops] { ++stops; });
  int reloads = 0;
  const signal_watch reload({SIGHUP}, [&reloads] { ++reloads; });
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
  ASSERT_EQ(std::raise(SIGHUP), 0);
  QElapsedTimer clock;
  clock.start();
  while (reloads == 0 && clock.elapsed() < kPatienceMs) {
    QCoreApplication::processEvents();
  }
  EXPECT_EQ(reloads, 1);
  EXPECT_EQ(stops, 2);
}

}  // namespace
}  // namespace anvilridge
