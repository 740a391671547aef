#ifndef ANVILRIDGE_BENCH_CAPACITY_BENCH_METER_H_
#define ANVILRIDGE_BENCH_CAPACITY_BENCH_METER_H_

#include <malloc.h>
#include <sys/resource.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <limits>

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

namespace anvilridge {

/// Returns this process's CPU time, user and system, in microseconds.
inline double CpuMicroseconds() {
  rusage usage = {};
  getrusage(RUSAGE_SELF, &usage);
  const auto microseconds = [](const timeval& time) {
    return 1e6 * static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec);
  };
  return microseconds(usage.ru_utime) + microseconds(usage.ru_stime);
}

/// Returns the bytes that the heap has handed out.
inline double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Returns the CPU time in microseconds of one call of `task`: the least of
/// three rounds of `repeats`, since other work disturbs upwards only.
template <typename Task>
double CpuOf(int repeats, const Task& task) {
  constexpr int kRounds = 3;
  double least = std::numeric_limits<double>::infinity();
  for (int round = 0; round < kRounds; ++round) {
    const double before = CpuMicroseconds();
    for (int i = 0; i < repeats; ++i) task();
    least = std::min(least, (CpuMicroseconds() - before) / repeats);
  }
  return least;
}

/// Returns argument `index` as a number, or `fallback`.
inline int SizeArgument(int argc, char** argv, int index, int fallback) {
  int size = fallback;
  if (index < argc && !absl::SimpleAtoi(argv[index], &size)) return fallback;
  return size;
}

/// Prints one JSON line.
inline void PrintLine(const QJsonObject& line) {
  std::puts(QJsonDocument(line).toJson(QJsonDocument::Compact).constData());
}

}  // namespace anvilridge

#endif  // ANVILRIDGE_BENCH_CAPACITY_BENCH_METER_H_
