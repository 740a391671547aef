#ifndef ANVILRIDGE_DISPATCH_EVENT_SPLITTER_H_
#define ANVILRIDGE_DISPATCH_EVENT_SPLITTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace anvilridge {

/// State of a parser that splits a stream of server-sent events into complete
/// events. Bytes of an event that never ends are not passed on.
struct event_splitter {
  /// Bytes of the incomplete event at the end of the input.
  std::string partial;
};

/// Appends `bytes` to the input and calls `sink` for each event that they
/// complete: with the event's bytes including the blank line at its end, and
/// with its id if that is an integer.
void SplitEvents(event_splitter& splitter, absl::string_view bytes,
                 const std::function<void(absl::string_view event,
                                          std::optional<int64_t> id)>& sink);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_EVENT_SPLITTER_H_
