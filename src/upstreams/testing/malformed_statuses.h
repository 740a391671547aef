#ifndef ANVILRIDGE_UPSTREAMS_TESTING_MALFORMED_STATUSES_H_
#define ANVILRIDGE_UPSTREAMS_TESTING_MALFORMED_STATUSES_H_

#include <string>
#include <vector>

namespace anvilridge {

/// Returns the beginnings of responses whose status line names no status,
/// without header fields.
inline std::vector<std::string> MalformedStatusLines() {
  return {"HTTP/1.1 000 X\r\n", "HTTP/1.1 7 X\r\n",    "HTTP/1.1 20 X\r\n",
          "HTTP/1.1 099 X\r\n", "HTTP/1.1 0200 X\r\n", "HTTP/1.1 600 X\r\n",
          "HTTP/1.1 999 X\r\n", "HTTP/1.1 101 X\r\n",  "HTTP 200 X\r\n"};
}

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_TESTING_MALFORMED_STATUSES_H_
