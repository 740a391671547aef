#ifndef ANVILRIDGE_UPSTREAMS_SSE_PARSER_H_
#define ANVILRIDGE_UPSTREAMS_SSE_PARSER_H_

#include <functional>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace anvilridge {

/// One server-sent event.
struct sse_event {
  std::string id;
  std::string event;
  std::string data;
};

/// Incremental state of one stream of server-sent events.
struct sse_parser {
  /// Bytes of the line that is not complete yet.
  std::string partial_line;
  sse_event pending;
  bool has_data = false;
  /// Lines or events longer than this are an error.
  size_t max_event_bytes = 64 << 10;
};

/// Feeds `bytes` to `parser` and calls `sink` for each complete event.
/// Returns an error when an event is too long; the stream is then unusable.
absl::Status FeedSse(sse_parser& parser, absl::string_view bytes,
                     const std::function<void(const sse_event&)>& sink);

/// Formats `event` as it goes over the wire, with the closing blank line.
std::string FormatSse(const sse_event& event);

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_SSE_PARSER_H_
