#include "base/clock.h"

#include <ctime>

#include "absl/time/clock.h"

namespace anvilridge {

absl::Time MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

absl::Time WallNow() { return absl::Now(); }

}  // namespace anvilridge
