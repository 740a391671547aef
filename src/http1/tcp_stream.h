#ifndef ANVILRIDGE_HTTP1_TCP_STREAM_H_
#define ANVILRIDGE_HTTP1_TCP_STREAM_H_

#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// What a `tcp_stream` tells, from the event loop.
struct tcp_events {
  std::function<void()> on_connected;
  std::function<void(absl::string_view bytes)> on_bytes;
  /// Called once, last. Ok when the peer closed in order behind all its bytes;
  /// otherwise the connection failed or was reset.
  std::function<void(const absl::Status&)> on_end;
};

/// One outgoing TCP connection that does not block. QTcpSocket reports a reset
/// as an orderly close, and an answer without a length is whole only behind
/// the latter. Handlers may destroy the stream.
class tcp_stream {
 public:
  /// Starts to connect to an IPv4 address; failures come by `on_end`.
  tcp_stream(const endpoint& peer, tcp_events events);
  /// Closes at once.
  ~tcp_stream();
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;

  /// Sends `bytes` behind those sent before; to be called once connected.
  void Write(absl::string_view bytes);

  /// Bytes that the kernel has not taken yet.
  size_t UnsentBytes() const;

  /// Returns whether bytes, the end or an error of the connection have arrived
  /// that were not told yet.
  bool HasUnread() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_HTTP1_TCP_STREAM_H_
