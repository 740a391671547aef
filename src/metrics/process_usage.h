#ifndef ANVILRIDGE_METRICS_PROCESS_USAGE_H_
#define ANVILRIDGE_METRICS_PROCESS_USAGE_H_

#include <cstdint>

namespace anvilridge {

/// What this process has used.
struct process_usage {
  /// User and system time since the start.
  double cpu_seconds = 0;
  /// Memory resident now.
  int64_t resident_bytes = 0;
};

/// Reads the usage of this process from the system.
process_usage ReadProcessUsage();

}  // namespace anvilridge

#endif  // ANVILRIDGE_METRICS_PROCESS_USAGE_H_
