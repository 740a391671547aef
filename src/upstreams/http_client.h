#ifndef ANVILRIDGE_UPSTREAMS_HTTP_CLIENT_H_
#define ANVILRIDGE_UPSTREAMS_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// Header fields in order; names are lower case.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// One HTTP/1.1 call to an upstream or to the platform.
struct http_call {
  std::string method = "GET";
  /// `a.b.c.d:port`.
  std::string address;
  /// Path and query, beginning with `/`.
  std::string target = "/";
  http_headers headers;
  std::string body;
  /// Whether the call may be delivered more than once. One that may not uses a
  /// fresh connection of its own, so that no library resends it.
  bool repeatable = false;
  absl::Duration connect_timeout = absl::Seconds(1);
  /// From the start to the end of the answer; infinite for streams.
  absl::Duration timeout = absl::InfiniteDuration();
  /// Longest time without a byte of the answer; infinite for none.
  absl::Duration stall_timeout = absl::InfiniteDuration();
  /// Answer bodies longer than this fail the call; only for buffered bodies.
  size_t max_body_bytes = 16 << 20;
  /// Header field that marks the answer to this call, with its value. Answers
  /// that carry another value were due to an earlier call and are passed over.
  /// On a connection that was used before, an answer without the field can't be
  /// matched and fails the call. Empty for none; `http_client` does not look at
  /// it.
  std::pair<std::string, std::string> answer_mark;
};

/// How a call ended.
struct http_result {
  /// Not ok when no whole answer arrived; the error's run state is `not_run`
  /// only if the connection was never made (nothing was sent).
  absl::Status status;
  /// 0 when no whole head arrived; there are no header fields then.
  int http_status = 0;
  http_headers headers;
  /// The body, unless `on_data` took it.
  std::string body;
};

/// What a caller of `http_client` is told, on the client's thread.
struct http_handler {
  /// Optional: the status line and header fields have arrived.
  std::function<void(int http_status, const http_headers&)> on_headers;
  /// Optional: takes body bytes as they arrive.
  std::function<void(absl::string_view)> on_data;
  /// Called once, last, unless the call is cancelled.
  std::function<void(http_result)> on_done;
};

/// Runs any number of concurrent HTTP calls on the thread that made it, which
/// must run a Qt event loop; nothing of it is safe to use from another thread,
/// and each traffic thread has its own. Handlers are called from the event
/// loop, never from `Start` or `Cancel`. They may start and cancel calls, but
/// not destroy the client.
class http_client {
 public:
  using call_id = uint64_t;

  http_client();
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Starts `call`; returns its id, never 0.
  call_id Start(http_call call, http_handler handler);

  /// Ends the call and closes its connection; its handler is not called again.
  /// Unknown ids are ignored.
  void Cancel(call_id id);

  /// Returns the number of calls in progress.
  size_t ActiveCalls() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Returns the value of the first field named `name` (lower case), or "".
absl::string_view HeaderValue(const http_headers& headers,
                              absl::string_view name);

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_HTTP_CLIENT_H_
