#ifndef ANVILRIDGE_CALLER_REQUEST_SCANNER_H_
#define ANVILRIDGE_CALLER_REQUEST_SCANNER_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// One request as framed by `request_scanner`.
struct scanned_request {
  std::string method;
  /// Origin form: path and query, or `*`.
  std::string target;
  /// In order of arrival, names in lower case; names may repeat.
  http_headers headers;
  /// Without chunk framing.
  std::string body;
  /// Whether the caller speaks HTTP/1.0, which has no chunked answers.
  bool http_1_0 = false;
  /// Whether the caller lets the connection be used again.
  bool keep_alive = true;
};

/// Returns whether the caller names its request by an idempotency key.
bool HasIdempotencyKey(const scanned_request& request);

/// What the bytes so far amount to.
enum class scan_progress { partial, complete };

/// Frames the requests of one connection and bounds what they may hold, before
/// any of it reaches the HTTP library. Has no I/O.
class request_scanner {
 public:
  /// `max_header_bytes` bounds the request line and header fields together,
  /// `max_body_bytes` the body without chunk framing.
  request_scanner(int64_t max_header_bytes, int64_t max_body_bytes);

  /// Changes the bounds; to be called between two requests.
  void SetBounds(int64_t max_header_bytes, int64_t max_body_bytes);

  /// Takes the next bytes of the connection. Fails with `malformed_request`,
  /// `headers_too_large` or `body_too_large`; the connection can't be framed
  /// any more then.
  absl::StatusOr<scan_progress> Take(absl::string_view bytes);

  /// Returns the complete request and starts on the next one, with the bytes
  /// that arrived beyond it.
  scanned_request Release();

  /// Returns the request that arrives without its body; to be called once the
  /// header fields have been read.
  scanned_request Head() const;

  /// Drops what has arrived of a request that is refused. The connection can't
  /// be framed any more then.
  void Discard();

  /// Returns the number of bytes of the request and behind it that are kept.
  int64_t KeptBytes() const;

  /// Whether a part of a request has arrived.
  bool InRequest() const;

  /// Whether the request may carry an idempotency key: one whose header fields
  /// have not been read whole may.
  bool MayHaveKey() const;

  /// Whether the header fields of the request that arrives have been read.
  bool FieldsRead() const { return fields_read_; }

  /// Returns the value of a header field, whose name is given in lower case, of
  /// the request that arrives; empty until the header fields have been read.
  absl::string_view HeaderField(absl::string_view name) const;

  /// Whether bytes have arrived that are not scanned yet.
  bool HasExcess() const { return !pending_.empty(); }

  /// Whether the caller waits for `100 Continue`; true once a request.
  bool TakeExpectContinue();

 private:
  enum class part { head, fixed_body, chunk_size, chunk_data, trailer, done };

  absl::Status Advance();
  absl::Status ReadHead();
  absl::Status ParseHead(absl::string_view head);
  absl::Status SelectFraming();
  absl::Status ReadFixedBody();
  absl::Status ReadChunkSize();
  absl::Status ReadChunkData();
  absl::Status ReadTrailer();

  size_t max_header_bytes_;
  size_t max_body_bytes_;
  part part_ = part::head;
  /// Whether the last step could not go on without more bytes.
  bool starved_ = false;
  std::string pending_;
  /// Bytes still to come of the body or of the chunk.
  size_t remaining_ = 0;
  /// Bytes of chunk framing and trailer so far.
  size_t framing_bytes_ = 0;
  bool expects_continue_ = false;
  /// Whether the header fields are all in `request_`.
  bool fields_read_ = false;
  scanned_request request_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CALLER_REQUEST_SCANNER_H_
