#ifndef ANVILRIDGE_DISPATCH_CALLER_AGE_H_
#define ANVILRIDGE_DISPATCH_CALLER_AGE_H_

#include "absl/time/time.h"

namespace anvilridge {

/// The longest time that the callers of one route give, lately. A caller that
/// comes back after a refusal gives what is left of its time, which tells how
/// long ago it came first.
struct usual_patience {
  absl::Duration current;
  absl::Duration previous;
  absl::Time period_began = absl::InfinitePast();
};

/// Notes that a caller gives `time_left`; returns how long ago it must have
/// asked first: zero for a first attempt.
absl::Duration LearnAge(usual_patience& patience, absl::Duration time_left,
                        absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_CALLER_AGE_H_
