#ifndef ANVILRIDGE_PEER_PEER_SESSION_H_
#define ANVILRIDGE_PEER_PEER_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "peer/peer_http2.h"
#include "peer/peer_socket.h"

namespace anvilridge {

/// What a session tells its owner besides what arrives.
struct peer_session_events {
  /// Client: the socket is connected and calls go out.
  std::function<void()> on_connected;
  peer_http2_events http2;
  /// The connection is gone and so are all its streams; called once, last.
  std::function<void(const std::string& reason)> on_broken;
};

/// One connection between daemons over a TCP socket, of either side, on one
/// thread with a Qt event loop. What is submitted within one turn of the event
/// loop goes out in one write. An owner that destroys it from one of its events
/// must defer that to the event loop.
class peer_session {
 public:
  peer_session(peer_side side, std::unique_ptr<peer_socket> socket,
               peer_session_events events);
  ~peer_session();

  /// These are the calls of `peer_http2`, with sending arranged.
  absl::StatusOr<int32_t> SubmitCall(const peer_request& request,
                                     absl::string_view key);
  void SubmitAnswer(int32_t stream, peer_answer answer);
  void Reset(int32_t stream);
  void Ping();

  /// Breaks the connection.
  void Close(const std::string& reason);

  /// When bytes last arrived; at first, when the session was made.
  absl::Time LastReceived() const;
  uint64_t BytesSent() const;
  uint64_t BytesReceived() const;
  /// Server: whether a call with the right key has arrived.
  bool Authorized() const;
  size_t OpenStreams() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PEER_PEER_SESSION_H_
