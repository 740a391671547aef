#ifndef ANVILRIDGE_MEMBERSHIP_HOME_MAP_H_
#define ANVILRIDGE_MEMBERSHIP_HOME_MAP_H_

#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace anvilridge {

/// Returns which of `daemons` is the home of `resource` by rendezvous hashing,
/// or "" if `daemons` is empty. Every daemon with the same set of names, in any
/// order, computes the same home. When a daemon joins or leaves, only its own
/// resources move. The result points into `daemons`.
absl::string_view HomeOf(absl::string_view resource,
                         absl::Span<const std::string> daemons);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_HOME_MAP_H_
