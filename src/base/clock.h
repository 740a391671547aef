#ifndef ANVILRIDGE_BASE_CLOCK_H_
#define ANVILRIDGE_BASE_CLOCK_H_

#include "absl/time/time.h"

namespace anvilridge {

/// Returns the time of a clock that never steps, for leases, deadlines and
/// delays. Comparable within one process only. Counts suspended time.
absl::Time MonotonicNow();

/// Returns the calendar time, for logs and for the age of idempotency keys.
absl::Time WallNow();

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_CLOCK_H_
