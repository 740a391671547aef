#ifndef ANVILRIDGE_PEER_PEER_SOCKET_H_
#define ANVILRIDGE_PEER_PEER_SOCKET_H_

#include <QByteArray>
#include <functional>
#include <memory>
#include <string>

#include "peer/socket_poller.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// What happens to a socket, told from the event loop.
struct peer_socket_events {
  std::function<void()> on_connected;
  std::function<void(const QByteArray& bytes)> on_bytes;
  /// All that was written has been taken by the system.
  std::function<void()> on_sent;
  /// The other side has closed, or the connection failed; told once.
  std::function<void(const std::string& reason)> on_gone;
};

/// A TCP socket of a connection between daemons. It may be closed, but not
/// destroyed, from its events.
class peer_socket {
 public:
  /// Takes over `descriptor`, which is connected.
  peer_socket(socket_poller& poller, int descriptor);
  /// Starts to connect to `peer`; a failure is told.
  peer_socket(socket_poller& poller, const endpoint& peer);
  ~peer_socket();

  /// Sets what is told; nothing is told before.
  void Listen(peer_socket_events events);

  bool Connected() const;
  /// Sends `bytes`, or keeps what the system does not take yet.
  void Write(const QByteArray& bytes);
  /// Bytes that the system has not taken.
  qsizetype Unsent() const;
  /// Closes the socket; nothing more is told.
  void Close();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PEER_PEER_SOCKET_H_
