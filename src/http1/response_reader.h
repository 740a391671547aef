#ifndef ANVILRIDGE_HTTP1_RESPONSE_READER_H_
#define ANVILRIDGE_HTTP1_RESPONSE_READER_H_

#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// What a `response_reader` tells while it reads one response.
struct response_sink {
  std::function<void(int http_status, const http_headers&)> on_head;
  std::function<void(absl::string_view)> on_body;
};

/// Parses the responses of one connection, one at a time. Has no I/O.
class response_reader {
 public:
  enum class progress { partial, complete };

  /// Bounds the heads of one response and of the interim responses before it,
  /// in bytes.
  static constexpr size_t kMaxHeadBytes = 64 << 10;

  /// Bounds the header fields and trailers of one response. Short fields take
  /// far more memory than they have bytes.
  static constexpr size_t kMaxFields = 256;

  response_reader();
  ~response_reader();

  /// Starts on the next response; `head_request` says that it has no body.
  void Begin(response_sink sink, bool head_request);

  /// Takes bytes until the response is complete or `bytes` are used up.
  /// Interim (1xx) responses are passed over.
  /// @param[out] taken how many of `bytes` belong to this response.
  /// @return `upstream_failed` when the bytes are no HTTP response.
  absl::StatusOr<progress> Take(absl::string_view bytes, size_t& taken);

  /// Tells that the peer has closed the connection in order.
  /// @return whether that completes the response (one without a length).
  bool TakeClose();

  /// Returns the bytes of the header fields and trailers of this response, and
  /// of a head that is incomplete.
  size_t HeadBytes() const;

  /// Whether the connection may carry another response.
  bool KeepAlive() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_HTTP1_RESPONSE_READER_H_
