#ifndef ANVILRIDGE_REQUESTS_DECODE_STREAM_H_
#define ANVILRIDGE_REQUESTS_DECODE_STREAM_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "placement/placement_request.h"
#include "requests/flow_context.h"
#include "upstreams/sse_parser.h"

namespace anvilridge {

/// A request that a decode engine holds, or holds the output of.
struct decode_source {
  /// The request's id at the engine.
  std::string request_id;
  chosen_engine engine;
  /// The owner that reads it, as the engine knows it.
  std::string owner;
};

/// What the reader of a decode stream is told. It may detach the stream.
struct decode_listener {
  /// Each token once, in order.
  std::function<void(int index, const std::string& token)> on_token;
  /// Called once, last: ok after the last token; `resume_fenced` when a later
  /// reader took the stream over; `upstream_refused` when the engine does not
  /// hold the request; else why the engine was given up.
  std::function<void(const absl::Status& ended)> on_end;
};

/// Reads the output of one request, and attaches again from the next token
/// when the connection breaks, stalls or carries another request's answer.
/// Lives on one traffic thread and keeps itself alive while attached.
class decode_stream : public std::enable_shared_from_this<decode_stream> {
 public:
  decode_stream(flow_context& context, decode_source source,
                decode_listener listener);

  /// Reads from token `next_index` on.
  void Attach(int next_index);

  /// Stops reading; the listener is not called again. The engine goes on.
  void Detach();

 private:
  void Connect();
  void TakeBytes(absl::string_view bytes);
  void TakeEvent(const sse_event& event);
  void TakeToken(int index, const std::string& token);
  void TakeDone(int tokens);
  void Break(const absl::Status& why);
  void TakeBreak(const absl::Status& why);
  void End(const absl::Status& why);

  flow_context& context_;
  const decode_source source_;
  // Null once detached or ended.
  std::shared_ptr<const decode_listener> listener_;
  sse_parser parser_;
  http_client::call_id call_ = 0;
  int next_index_ = 0;
  // Attachments that brought no token, since the last one that did.
  int fruitless_ = 0;
  bool progressed_ = false;
  absl::Time last_token_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_DECODE_STREAM_H_
