#include "metrics/process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace anvilridge {
namespace {

double Seconds(const timeval& time) {
  constexpr double kMicrosecond = 1e-6;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) * kMicrosecond;
}

int64_t ResidentBytes() {
  // Pages in all, then pages resident.
  std::ifstream statm("/proc/self/statm");
  int64_t total = 0;
  int64_t resident = 0;
  if (!(statm >> total >> resident)) return 0;
  return resident * sysconf(_SC_PAGESIZE);
}

}  // namespace

process_usage ReadProcessUsage() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return {Seconds(usage.ru_utime) + Seconds(usage.ru_stime), ResidentBytes()};
}

}  // namespace anvilridge
