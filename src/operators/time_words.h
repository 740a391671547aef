#ifndef ANVILRIDGE_OPERATORS_TIME_WORDS_H_
#define ANVILRIDGE_OPERATORS_TIME_WORDS_H_

#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// What `ParseTimeWord` takes, for a person.
inline constexpr absl::string_view kTimeWords =
    "noon, midnight, HH:MM (UTC), a duration ago such as 2h, or a time such as "
    "2031-05-04T12:00:00Z";

/// Returns the latest time not after `now` that `word` names.
std::optional<absl::Time> ParseTimeWord(absl::string_view word, absl::Time now);

/// Returns the last noon (UTC) not after `now`, when the watch is handed over.
absl::Time LastNoon(absl::Time now);

/// Returns `2031-05-04T12:00:00Z`.
std::string TimeText(absl::Time time);

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_TIME_WORDS_H_
