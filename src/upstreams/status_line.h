#ifndef ANVILRIDGE_UPSTREAMS_STATUS_LINE_H_
#define ANVILRIDGE_UPSTREAMS_STATUS_LINE_H_

#include <optional>

#include "absl/strings/string_view.h"

namespace anvilridge {

/// Bytes from which a status line can be told from anything else: the version,
/// the status and one byte more.
inline constexpr size_t kStatusLineBytes = 13;

/// Lowest status of a final response; those below are interim.
inline constexpr int kFirstFinalStatus = 200;

/// Parses a status line of HTTP/1 such as `HTTP/1.1 200 OK`.
/// @param line line without its end; the first `kStatusLineBytes` suffice.
/// @return the status; nothing if the line is none, or if the status isn't
///     three digits from 100 to 599, or if it is 101, as no call here asks for
///     another protocol.
std::optional<int> ParseStatusLine(absl::string_view line);

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_STATUS_LINE_H_
