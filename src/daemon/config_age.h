#ifndef ANVILRIDGE_DAEMON_CONFIG_AGE_H_
#define ANVILRIDGE_DAEMON_CONFIG_AGE_H_

#include <cstdint>

#include "absl/time/time.h"

namespace anvilridge {

/// Since when the configuration in force may be out of date.
struct config_age {
  /// A later offset than the one in force, first seen at another daemon at
  /// `since`; meaningless once it is in force.
  int64_t later_offset = 0;
  absl::Time since = absl::InfiniteFuture();
};

/// Takes over the offset in force here and the latest at any daemon.
void NoteOffsets(config_age& age, int64_t in_force, int64_t latest,
                 absl::Time now);

/// Returns for how long another daemon has had what is not in force here; zero
/// when there is no such thing.
absl::Duration AgeOf(const config_age& age, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_CONFIG_AGE_H_
