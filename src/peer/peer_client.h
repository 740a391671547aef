#ifndef ANVILRIDGE_PEER_PEER_CLIENT_H_
#define ANVILRIDGE_PEER_PEER_CLIENT_H_

#include <QCborMap>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "peer/peer_timing.h"

namespace anvilridge {

/// Calls the deployment's other daemons over kept nghttp2 connections, one a
/// peer, opened when first used and closed when idle. Lives on one thread,
/// which must run a Qt event loop; not safe to use from another. `done`
/// functions may make calls, but not destroy the client.
class peer_client {
 public:
  explicit peer_client(std::string peer_key, const peer_timing& timing = {});
  ~peer_client();

  /// Calls `method` of the daemon whose peer port is `address` (`ip:port`).
  /// `done` is called once, on this thread: with the peer's answer, its error,
  /// or `upstream_failed` / `upstream_stalled` when the peer can't be reached
  /// or `timeout` passes. Never called from inside `Call`. The run state of
  /// those two is `not_run` only if no connection was made. Text of `request`
  /// under the keys 0 to 3 costs a byte or two when it repeats from call to
  /// call (see `kRepeatedKeys`).
  void Call(absl::string_view address, absl::string_view method,
            const QCborMap& request, absl::Duration timeout,
            std::function<void(absl::StatusOr<QCborMap>)> done);

  /// Bytes that this client alone has sent and received since its start.
  uint64_t BytesSent() const;
  uint64_t BytesReceived() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PEER_PEER_CLIENT_H_
