#ifndef ANVILRIDGE_DAEMON_LEAVING_ENGINES_H_
#define ANVILRIDGE_DAEMON_LEAVING_ENGINES_H_

#include <map>
#include <set>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// Names of upstreams.
using name_set = std::set<std::string, std::less<>>;

/// How long a daemon's word that engines are leaving holds; it is repeated
/// every `kLeavingRepeat` while it does.
inline constexpr absl::Duration kLeavingLife = absl::Seconds(5);
inline constexpr absl::Duration kLeavingRepeat = absl::Seconds(1);

/// What one daemon last said.
struct leaving_word {
  name_set engines;
  absl::Time until;
};

/// Engines that get no new work because of orders that other daemons carry
/// out, by the daemon that said so.
struct leaving_engines {
  std::map<std::string, leaving_word, std::less<>> said;
  /// Engines with a role order whose home has not spoken yet, and until when
  /// it is waited for.
  std::map<std::string, absl::Time, std::less<>> expected;
  /// What this daemon last told the others, and when.
  name_set told;
  absl::Time told_at = absl::InfinitePast();
};

/// Returns the engines that others keep from new work at `now`.
name_set LeavingAt(const leaving_engines& elsewhere, absl::Time now);

/// Returns whether the others must hear of `own` now: it changed, or it is
/// time to repeat it.
bool MustTell(const leaving_engines& elsewhere, const name_set& own,
              absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_LEAVING_ENGINES_H_
