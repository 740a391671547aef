#include "upstreams/sse_parser.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

size_t PendingBytes(const sse_event& event) {
  return event.id.size() + event.event.size() + event.data.size();
}

/// Takes the field of `line` into the pending event. Comments and fields that
/// nobody reads are dropped.
void TakeField(sse_parser& parser, absl::string_view line) {
  const std::pair<absl::string_view, absl::string_view> field =
      absl::StrSplit(line, absl::MaxSplits(':', 1));
  absl::string_view value = field.second;
  absl::ConsumePrefix(&value, " ");
  if (field.first == "id") {
    parser.pending.id = std::string(value);
  } else if (field.first == "event") {
    parser.pending.event = std::string(value);
  } else if (field.first == "data") {
    if (parser.has_data) parser.pending.data += '\n';
    absl::StrAppend(&parser.pending.data, value);
    parser.has_data = true;
  }
}

void EndEvent(sse_parser& parser,
              const std::function<void(const sse_event&)>& sink) {
  const sse_event event = std::exchange(parser.pending, sse_event{});
  if (std::exchange(parser.has_data, false)) sink(event);
}

absl::Status TooLong() {
  return MakeError(error_kind::upstream_failed,
                   "a server-sent event is too long");
}

}  // namespace

absl::Status FeedSse(sse_parser& parser, absl::string_view bytes,
                     const std::function<void(const sse_event&)>& sink) {
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    const absl::string_view part = bytes.substr(0, end);
    if (parser.partial_line.size() + part.size() > parser.max_event_bytes) {
      return TooLong();
    }
    absl::StrAppend(&parser.partial_line, part);
    if (end == absl::string_view::npos) return absl::OkStatus();
    bytes.remove_prefix(end + 1);
    const std::string whole = std::exchange(parser.partial_line, {});
    absl::string_view line = whole;
    absl::ConsumeSuffix(&line, "\r");
    if (line.empty()) {
      EndEvent(parser, sink);
      continue;
    }
    TakeField(parser, line);
    if (PendingBytes(parser.pending) > parser.max_event_bytes) return TooLong();
  }
  return absl::OkStatus();
}

std::string FormatSse(const sse_event& event) {
  std::string text;
  if (!event.id.empty()) absl::StrAppend(&text, "id: ", event.id, "\n");
  if (!event.event.empty()) {
    absl::StrAppend(&text, "event: ", event.event, "\n");
  }
  for (const absl::string_view line : absl::StrSplit(event.data, '\n')) {
    absl::StrAppend(&text, "data: ", line, "\n");
  }
  return absl::StrCat(text, "\n");
}

}  // namespace anvilridge
