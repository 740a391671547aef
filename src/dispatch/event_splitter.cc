#include "dispatch/event_splitter.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace anvilridge {
namespace {

// Returns the length of the first complete event of `text`, or npos if there is
// none. Lines may end with LF or CRLF. The blank line that ends the event is
// searched for from offset `from`.
size_t EventLength(absl::string_view text, size_t from) {
  for (size_t at = text.find('\n', from); at != absl::string_view::npos;
       at = text.find('\n', at + 1)) {
    size_t next = at + 1;
    if (next < text.size() && text[next] == '\r') ++next;
    if (next < text.size() && text[next] == '\n') return next + 1;
  }
  return absl::string_view::npos;
}

// Returns the value of the first `id` field of `event` that is an integer.
std::optional<int64_t> EventId(absl::string_view event) {
  for (absl::string_view line : absl::StrSplit(event, '\n')) {
    if (!absl::ConsumePrefix(&line, "id:")) continue;
    int64_t id = 0;
    if (absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &id)) return id;
  }
  return std::nullopt;
}

}  // namespace

void SplitEvents(event_splitter& splitter, absl::string_view bytes,
                 const std::function<void(absl::string_view event,
                                          std::optional<int64_t> id)>& sink) {
  // The line ends at the end of an event may be split between two calls, with
  // up to three of their bytes in the earlier one.
  constexpr size_t kMaxSplitTerminatorBytes = 3;
  size_t from = splitter.partial.size() -
                std::min(splitter.partial.size(), kMaxSplitTerminatorBytes);
  absl::StrAppend(&splitter.partial, bytes);
  std::string text = std::exchange(splitter.partial, "");
  absl::string_view rest = text;
  for (size_t length = EventLength(rest, from);
       length != absl::string_view::npos; length = EventLength(rest, 0)) {
    const absl::string_view event = rest.substr(0, length);
    sink(event, EventId(event));
    rest.remove_prefix(length);
  }
  absl::StrAppend(&splitter.partial, rest);
}

}  // namespace anvilridge
