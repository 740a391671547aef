#ifndef ANVILRIDGE_DISPATCH_EVENT_SPLITTER_H_
#define ANVILRIDGE_DISPATCH_EVENT_SPLITTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace anvilridge {

/// Cuts a stream of server-sent events at the ends of events, so that bytes of
/// an event that never ends are not passed on.
struct event_splitter {
  /// Bytes of the event that has not ended yet.
  std::string partial;
};

/// Feeds `bytes` and calls `sink` with the bytes of each whole event, its blank
/// line included, and with its id if that is a whole number.
void SplitEvents(event_splitter& splitter, absl::string_view bytes,
                 const std::function<void(absl::string_view event,
                                          std::optional<int64_t> id)>& sink);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_EVENT_SPLITTER_H_
