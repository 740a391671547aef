#ifndef ANVILRIDGE_HTTP1_IDLE_TIME_H_
#define ANVILRIDGE_HTTP1_IDLE_TIME_H_

#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// How long idle connections are kept, by what broke: an upstream may drop them
/// without notice, sooner than it says.
struct idle_times {
  struct limit {
    absl::Duration longest = absl::InfiniteDuration();
    /// When a connection last broke that had rested so long.
    absl::Time learned = absl::InfinitePast();
  };
  std::map<std::string, limit, std::less<>> limits;
  /// Over all addresses: upstreams of one kind are mostly set up alike.
  limit common;
};

/// Notes that a connection to `address` broke, without a byte of an answer, as
/// it was used after resting for `rested`.
void NoteIdleBreak(idle_times& times, absl::string_view address,
                   absl::Duration rested, absl::Time now);

/// Returns how long a connection to `address` may rest when its upstream says
/// `named`.
absl::Duration IdleTime(const idle_times& times, absl::string_view address,
                        absl::Duration named, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_HTTP1_IDLE_TIME_H_
