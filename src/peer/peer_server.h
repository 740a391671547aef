#ifndef ANVILRIDGE_PEER_PEER_SERVER_H_
#define ANVILRIDGE_PEER_PEER_SERVER_H_

#include <QCborMap>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "peer/peer_timing.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// Answers one peer call, at once or later, on the server's thread; only the
/// first answer counts. An error's kind, run state, retry delay and message
/// reach the peer that called. A responder that is dropped unused answers
/// `internal`.
using peer_responder = std::function<void(absl::StatusOr<QCborMap>)>;

/// Handles the calls of one method.
using peer_handler =
    std::function<void(const QCborMap& request, peer_responder respond)>;

/// Serves calls from the deployment's other daemons: nghttp2 streams with CBOR
/// bodies, refused without the deployment's peer key. Lives on one thread,
/// which must run a Qt event loop; handlers run there and must not destroy the
/// server.
class peer_server {
 public:
  explicit peer_server(std::string peer_key, const peer_timing& timing = {});
  ~peer_server();

  /// Calls of `method`, such as `placement/reserve`, go to `handler`.
  void Handle(std::string method, peer_handler handler);

  /// Listens; fails when the port is taken.
  absl::Status Listen(const endpoint& listen);

  /// Returns the port bound.
  uint16_t Port() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PEER_PEER_SERVER_H_
