#ifndef ANVILRIDGE_PEER_PEER_SESSION_H_
#define ANVILRIDGE_PEER_PEER_SESSION_H_

#include <QByteArray>
#include <QTcpSocket>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/run_state.h"
#include "peer/peer_message.h"

namespace anvilridge {

enum class peer_side { client, server };

/// What a session tells its owner, always outside nghttp2 and never from
/// inside a call of the owner's. All but `authorize` may use the session; none
/// may destroy it at once (see `peer_session`).
struct peer_session_events {
  /// Client: the socket is connected and calls go out.
  std::function<void()> on_connected;
  /// Server: whether `key` is the deployment's; asked before a body is taken.
  std::function<bool(absl::string_view key)> authorize;
  /// Server: a call of `method` has arrived whole.
  std::function<void(int32_t stream, std::string method, QByteArray body)>
      on_call;
  /// Client: a call was answered.
  std::function<void(int32_t stream, peer_answer answer)> on_answer;
  /// Client: the stream ended before it was answered; `ran` is `not_run` when
  /// the other side never took the call.
  std::function<void(int32_t stream, run_state ran)> on_reset;
  /// The connection is gone and so are all its streams; called once, last.
  std::function<void(const std::string& reason)> on_broken;
};

/// One nghttp2 connection over a TCP socket, of either side, on one thread
/// with a Qt event loop. What is submitted within one turn of the event loop
/// goes out in one write. An owner that destroys it from one of its events
/// must defer that to the event loop.
class peer_session {
 public:
  peer_session(peer_side side, std::unique_ptr<QTcpSocket> socket,
               peer_session_events events);
  ~peer_session();

  /// Client: sends a call; returns its stream, or `upstream_failed` (not run)
  /// when the connection takes no more.
  absl::StatusOr<int32_t> SubmitCall(absl::string_view method,
                                     absl::string_view key, QByteArray body);

  /// Server: answers a call; ignored if its stream has ended.
  void SubmitAnswer(int32_t stream, peer_answer answer);

  /// Gives a stream up; nothing more is told of it.
  void Reset(int32_t stream);

  /// Asks the other side for a sign of life.
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
