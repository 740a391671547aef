#ifndef ANVILRIDGE_PEER_PEER_HTTP2_H_
#define ANVILRIDGE_PEER_PEER_HTTP2_H_

#include <QByteArray>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "base/run_state.h"
#include "peer/peer_message.h"

namespace anvilridge {

enum class peer_side { client, server };

/// What arrives over a connection; told outside nghttp2, so that all calls to
/// the `peer_http2` but its destructor are allowed.
struct peer_http2_events {
  /// Server: whether `key` is the deployment's; asked before a body is taken.
  /// The only event that is told inside nghttp2.
  std::function<bool(absl::string_view key)> authorize;
  /// Server: a call of `method` has arrived whole.
  std::function<void(int32_t stream, const peer_request& request)> on_call;
  /// Client: a call was answered.
  std::function<void(int32_t stream, const peer_answer& answer)> on_answer;
  /// Client: the stream ended before it was answered; `ran` is `not_run` when
  /// the other side never took the call.
  std::function<void(int32_t stream, run_state ran)> on_reset;
};

/// The HTTP/2 state of either side of a connection, from bytes to bytes. A call
/// is `POST /METHOD` with the field `anvil-key`, the fields `anvil-0` to
/// `anvil-3` for text that repeats, and a CBOR map as body; a call with a wrong
/// key is answered 403 and ends the connection.
class peer_http2 {
 public:
  peer_http2(peer_side side, peer_http2_events events);
  ~peer_http2();

  /// Takes bytes that arrived; an error means that the connection is unusable.
  absl::Status Receive(const QByteArray& bytes);

  /// Returns about `limit` bytes to send at most; empty when there are none.
  QByteArray TakeOutput(qsizetype limit);

  /// Client: adds a call; returns its stream, or `upstream_failed` (not run)
  /// when the connection takes no more.
  absl::StatusOr<int32_t> SubmitCall(const peer_request& request,
                                     absl::string_view key);

  /// Server: answers a call; ignored if its stream has ended.
  void SubmitAnswer(int32_t stream, peer_answer answer);

  /// Gives a stream up; nothing more is told of it.
  void Reset(int32_t stream);

  /// Asks the other side for a sign of life.
  void Ping();

  /// Nothing more is told or submitted.
  void Close();

  bool WantsToSend() const;
  /// Whether both sides are done with the connection.
  bool IsOver() const;
  /// Server: whether a call with the right key has arrived.
  bool Authorized() const;
  /// Server: whether a call with a wrong key was refused.
  bool Refused() const;
  size_t OpenStreams() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PEER_PEER_HTTP2_H_
