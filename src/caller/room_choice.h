#ifndef ANVILRIDGE_CALLER_ROOM_CHOICE_H_
#define ANVILRIDGE_CALLER_ROOM_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace anvilridge {

/// What a connection keeps for its caller.
struct held_connection {
  /// Bytes that would be free if it were ended; 0 if it can't be.
  int64_t bytes = 0;
  /// Last time at which the caller sent or took bytes.
  absl::Time last_progress = absl::InfinitePast();
};

/// Returns the index of the connection to be ended when the callers of a port
/// hold more than may be kept: the one that holds the most of those without
/// progress; nothing if all make progress or hold little.
/// Load pattern: many requests with large bodies stop just short of their end
/// and stay open, beside callers that send theirs whole.
std::optional<size_t> ChooseConnectionToEnd(
    absl::Span<const held_connection> connections, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CALLER_ROOM_CHOICE_H_
