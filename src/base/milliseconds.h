#ifndef ANVILRIDGE_BASE_MILLISECONDS_H_
#define ANVILRIDGE_BASE_MILLISECONDS_H_

#include "absl/time/time.h"

namespace anvilridge {

/// Returns `duration` in whole milliseconds, as a number for a log line.
inline double ToMilliseconds(absl::Duration duration) {
  return static_cast<double>(absl::ToInt64Milliseconds(duration));
}

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_MILLISECONDS_H_
