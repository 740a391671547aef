#include "log/decision_log.h"

#include <unistd.h>

#include <QFile>
#include <QJsonDocument>
#include <QTemporaryDir>
#include <array>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

std::vector<QJsonObject> ReadLines(const QString& name) {
  QFile file(name);
  EXPECT_TRUE(file.open(QIODevice::ReadOnly));
  std::vector<QJsonObject> lines;
  while (!file.atEnd()) {
    const QJsonDocument line = QJsonDocument::fromJson(file.readLine());
    EXPECT_TRUE(line.isObject());
    lines.push_back(line.object());
  }
  return lines;
}

TEST(decision_log_test, WritesOneObjectALineFromTheLevelOn) {
  const QTemporaryDir folder;
  const QString name = folder.filePath("log");
  const absl::Time before = WallNow();
  ASSERT_TRUE(OpenLog({"warn", name.toStdString()}, "entry-1").ok());
  LogEvent(log_level::info, "too_low");
  LogEvent(log_level::warn, "placed",
           {{"chosen", "engine\n\"1\""}, {"level", "forged"}});
  LogEvent(log_level::error, "lost");
  const std::vector<QJsonObject> lines = ReadLines(name);
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_EQ(lines[0]["event"], "placed");
  EXPECT_EQ(lines[0]["level"], "warn");
  EXPECT_EQ(lines[0]["daemon"], "entry-1");
  EXPECT_EQ(lines[0]["chosen"], "engine\n\"1\"");
  EXPECT_EQ(lines[1]["event"], "lost");
  const std::string text = lines[0]["time"].toString().toStdString();
  absl::Time time;
  std::string error;
  ASSERT_TRUE(absl::ParseTime(absl::RFC3339_full, text, &time, &error)) << text;
  EXPECT_EQ(text.size(), std::string("2026-01-01T00:00:00.000Z").size());
  EXPECT_GE(time,
            absl::Floor(before - absl::UnixEpoch(), absl::Milliseconds(1)) +
                absl::UnixEpoch());
}

// A reader of the standard output that has stopped must not stop the daemon.
TEST(decision_log_test, LinesForASlowReaderAreCountedNotAwaited) {
  std::array<int, 2> ends{};
  ASSERT_EQ(::pipe(ends.data()), 0);
  const int kept = ::dup(STDOUT_FILENO);
  ASSERT_TRUE(OpenLog({"info", "stdout"}, "entry-1").ok());
  ::dup2(ends[1], STDOUT_FILENO);
  for (int i = 0; i < 1500; ++i) LogEvent(log_level::info, "one_of_many");
  std::string read(1 << 20, '\0');
  read.resize(static_cast<size_t>(::read(ends[0], read.data(), read.size())));
  LogEvent(log_level::info, "after_the_pause");
  std::string rest(1 << 16, '\0');
  rest.resize(static_cast<size_t>(::read(ends[0], rest.data(), rest.size())));
  ::dup2(kept, STDOUT_FILENO);
  ::close(kept);
  ::close(ends[0]);
  ::close(ends[1]);
  EXPECT_EQ(read.back(), '\n');
  EXPECT_TRUE(absl::StrContains(rest, "after_the_pause")) << rest;
  EXPECT_TRUE(absl::StrContains(rest, "log_lines_dropped")) << rest;
}

TEST(decision_log_test, AFloodOfLinesIsBoundedAndToldOf) {
  const QTemporaryDir folder;
  const QString name = folder.filePath("log");
  ASSERT_TRUE(OpenLog({"info", name.toStdString()}, "entry-1").ok());
  constexpr int kLines = 20000;
  for (int i = 0; i < kLines; ++i) LogEvent(log_level::info, "flood");
  LogEvent(log_level::error, "lost");
  const std::vector<QJsonObject> lines = ReadLines(name);
  EXPECT_LT(lines.size(), 10000U);
  // A slow machine earns lines while the flood lasts, so there may be several
  // notes; together they tell of every line.
  int written = 0;
  int lost = 0;
  int told = 0;
  for (const QJsonObject& line : lines) {
    if (line["event"] == "flood") ++written;
    if (line["event"] == "lost") ++lost;
    if (line["event"] == "log_lines_dropped") told += line["lines"].toInt();
  }
  EXPECT_EQ(lost, 1);
  EXPECT_GT(told, 10000);
  EXPECT_EQ(written + told, kLines);
}

TEST(decision_log_test, UnwritableFileIsAnError) {
  const absl::Status status = OpenLog({"info", "/nonexistent/log"}, "entry-1");
  EXPECT_TRUE(absl::StrContains(status.message(), "/nonexistent/log"))
      << status;
  EXPECT_FALSE(OpenLog({"loud", "stderr"}, "entry-1").ok());
}

TEST(decision_log_thread_test, LinesOfThreadsStayWhole) {
  constexpr int kThreads = 4;
  constexpr int kLinesEach = 250;
  const QTemporaryDir folder;
  const QString name = folder.filePath("log");
  ASSERT_TRUE(OpenLog({"info", name.toStdString()}, "entry-1").ok());
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([i] {
      for (int n = 0; n < kLinesEach; ++n) {
        LogEvent(log_level::info, "line", {{"thread", i}, {"n", n}});
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  std::vector<int> next(kThreads, 0);
  for (const QJsonObject& line : ReadLines(name)) {
    EXPECT_EQ(line["n"].toInt(), next.at(line["thread"].toInt())++);
  }
  EXPECT_EQ(next, std::vector<int>(kThreads, kLinesEach));
}

}  // namespace
}  // namespace anvilridge
