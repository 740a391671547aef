#ifndef ANVILRIDGE_MEMBERSHIP_HOME_MAP_H_
#define ANVILRIDGE_MEMBERSHIP_HOME_MAP_H_

#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace anvilridge {

/// Returns which of `daemons` is the home of `resource` by rendezvous hashing,
/// "" for none: every daemon with the same list finds the same home, and only
/// the resources of a daemon that comes or goes move. The result points into
/// `daemons`.
absl::string_view HomeOf(absl::string_view resource,
                         absl::Span<const std::string> daemons);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_HOME_MAP_H_
