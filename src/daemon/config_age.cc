#include "daemon/config_age.h"

namespace anvilridge {

void NoteOffsets(config_age& age, int64_t in_force, int64_t latest,
                 absl::Time now) {
  const bool waiting = age.since != absl::InfiniteFuture();
  if (waiting && in_force < age.later_offset) return;
  age.later_offset = latest;
  age.since = latest > in_force ? now : absl::InfiniteFuture();
}

absl::Duration AgeOf(const config_age& age, absl::Time now) {
  return age.since < now ? now - age.since : absl::ZeroDuration();
}

}  // namespace anvilridge
