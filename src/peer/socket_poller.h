#ifndef ANVILRIDGE_PEER_SOCKET_POLLER_H_
#define ANVILRIDGE_PEER_SOCKET_POLLER_H_

#include <cstdint>
#include <functional>
#include <memory>

namespace anvilridge {

/// What a socket is ready for.
struct socket_readiness {
  /// To be read, or the other side has gone, or there is an error.
  bool readable = false;
  bool writable = false;
};

/// Waits for many sockets behind one descriptor, by epoll, so that the event
/// loop of its thread does not look at each of them at each turn.
class socket_poller {
 public:
  using callback = std::function<void(socket_readiness)>;

  socket_poller();
  ~socket_poller();
  socket_poller(const socket_poller&) = delete;
  socket_poller& operator=(const socket_poller&) = delete;

  /// Calls `ready` whenever `descriptor` can be read, from the event loop.
  /// Returns a token for the calls below.
  uint64_t Add(int descriptor, callback ready);

  /// Whether `ready` is also called when the socket can be written.
  void WatchWritable(uint64_t token, bool watch);

  /// Nothing more is told of the socket; to be called before it is closed.
  void Remove(uint64_t token);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PEER_SOCKET_POLLER_H_
