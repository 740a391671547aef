#ifndef ANVILRIDGE_TESTS_HARNESS_TEST_HTTP_H_
#define ANVILRIDGE_TESTS_HARNESS_TEST_HTTP_H_

#include <QJsonObject>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// Header fields of a test's request or answer; names of answers are lower
/// case.
using test_headers = std::vector<std::pair<std::string, std::string>>;

/// The answer to a test's request.
struct test_answer {
  /// 0 when no whole answer came.
  int status = 0;
  test_headers headers;
  std::string body;
  /// libcurl's text when no whole answer came.
  std::string error;

  /// Returns the body as a JSON object; empty when it is not one.
  QJsonObject Json() const;

  /// Returns the first header field `name` (lower case), or "".
  std::string Header(absl::string_view name) const;
};

/// What a test sends; `body` is sent as it stands.
struct test_request {
  std::string method = "GET";
  uint16_t port = 0;
  std::string target = "/";
  test_headers headers;
  std::string body;
  absl::Duration timeout = absl::Seconds(10);
};

/// Sends `request` once over a fresh connection to the loopback address and
/// waits for the answer.
test_answer Send(const test_request& request);

test_answer Get(uint16_t port, absl::string_view target,
                const test_headers& headers = {});
test_answer Post(uint16_t port, absl::string_view target,
                 const QJsonObject& body, const test_headers& headers = {});
test_answer Put(uint16_t port, absl::string_view target,
                const QJsonObject& body, const test_headers& headers = {});
test_answer Delete(uint16_t port, absl::string_view target,
                   const test_headers& headers = {});

/// Returns `body` as compact JSON text.
std::string BodyText(const QJsonObject& body);

/// One server-sent event as a test sees it.
struct test_event {
  std::string id;
  std::string event;
  std::string data;

  /// Returns `data` as a JSON object; empty when it is not one.
  QJsonObject Json() const;
};

/// A streamed answer that is read on a thread of its own. Destroying it closes
/// the connection.
class event_stream {
 public:
  /// Sends `request`; its timeout bounds the whole stream.
  explicit event_stream(test_request request);
  ~event_stream();
  event_stream(const event_stream&) = delete;
  event_stream& operator=(const event_stream&) = delete;

  /// Waits until `count` events have come; false when the stream ended before
  /// or `bound` passed.
  bool WaitForEvents(size_t count, absl::Duration bound);

  /// Waits for the end of the stream, whole or broken.
  bool WaitForEnd(absl::Duration bound);

  /// Closes the connection at once.
  void Cut();

  /// Stops reading until the connection is cut, as a slow reader does.
  void StopReading();

  /// Returns the events so far.
  std::vector<test_event> Events() const;

  /// Returns the answer so far; `body` holds the raw bytes, and `status` is
  /// set once the header fields have come. `error` is empty unless the
  /// connection broke.
  test_answer Answer() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Posts `body` and collects events until the end of the stream or until
/// `max_events` have come, whereupon the connection is cut.
std::vector<test_event> CollectEvents(uint16_t port, absl::string_view target,
                                      const QJsonObject& body,
                                      size_t max_events, absl::Duration bound,
                                      const test_headers& headers = {});

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_TEST_HTTP_H_
