#ifndef ANVILRIDGE_TESTS_HARNESS_EVENTUALLY_H_
#define ANVILRIDGE_TESTS_HARNESS_EVENTUALLY_H_

#include <functional>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "base/clock.h"

namespace anvilridge {

/// Asks `predicate` every few milliseconds until it holds or `bound` has
/// passed. Returns whether it held; asks at least once.
inline bool Eventually(absl::Duration bound,
                       const std::function<bool()>& predicate) {
  constexpr absl::Duration kPollInterval = absl::Milliseconds(5);
  const absl::Time deadline = MonotonicNow() + bound;
  while (!predicate()) {
    if (MonotonicNow() >= deadline) return false;
    absl::SleepFor(kPollInterval);
  }
  return true;
}

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_EVENTUALLY_H_
