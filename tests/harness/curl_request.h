#ifndef ANVILRIDGE_TESTS_HARNESS_CURL_REQUEST_H_
#define ANVILRIDGE_TESTS_HARNESS_CURL_REQUEST_H_

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <string>

#include "harness/test_http.h"

namespace anvilridge {

/// Called for parts of an answer; returns false to close the connection.
struct curl_sinks {
  std::function<bool(absl::string_view line)> on_header;
  std::function<bool(absl::string_view bytes)> on_body;
  /// Optional: the connection's socket was opened or is about to be closed.
  std::function<void(int socket)> on_open;
  std::function<void()> on_close;
};

/// Performs `request` on this thread, blocking. Returns the error text, empty
/// when the whole answer came.
std::string PerformRequest(const test_request& request,
                           const curl_sinks& sinks);

/// Adds one header line, or the status line, to `answer`.
void AddHeaderLine(test_answer& answer, absl::string_view line);

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_CURL_REQUEST_H_
