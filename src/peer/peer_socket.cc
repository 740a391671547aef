#include "peer/peer_socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QObject>
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "base/event_loop.h"

namespace anvilridge {
namespace {

// Read in one turn; what is left is read in the next.
constexpr size_t kReadBytes = 16 << 10;

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

void SetOptions(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  const int flags = fcntl(descriptor, F_GETFL);
  fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  fcntl(descriptor, F_SETFD, FD_CLOEXEC);
}

// Returns the error number; 0 when connected or on the way.
int StartConnect(int descriptor, const endpoint& peer) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(peer.port);
  if (inet_pton(AF_INET, peer.address.c_str(), &address.sin_addr) != 1) {
    return EINVAL;
  }
  const int result = connect(
      descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  return result == 0 || errno == EINPROGRESS ? 0 : errno;
}

}  // namespace

struct peer_socket::impl {
  socket_poller& poller;
  int descriptor;
  bool connected;
  uint64_t token = 0;
  QByteArray unsent;
  peer_socket_events events;
  QObject context;

  impl(socket_poller& with, int socket, bool is_connected)
      : poller(with), descriptor(socket), connected(is_connected) {
    SetOptions(descriptor);
  }

  void Start() {
    if (descriptor < 0) return;
    token = poller.Add(descriptor, [this](socket_readiness ready) {
      if (!connected) return FinishConnect();
      if (ready.writable) SendUnsent();
      if (ready.readable) Read();
    });
    if (!connected) poller.WatchWritable(token, true);
  }

  void FinishConnect() {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return Fail(strerror(error));
    connected = true;
    poller.WatchWritable(token, false);
    if (events.on_connected) events.on_connected();
  }

  void Read() {
    if (descriptor < 0) return;
    std::array<char, kReadBytes> buffer;
    const ssize_t count = recv(descriptor, buffer.data(), buffer.size(), 0);
    if (count < 0 && (WouldBlock() || errno == EINTR)) return;
    if (count < 0) return Fail(strerror(errno));
    if (count == 0) return Fail("the peer closed the connection");
    events.on_bytes(QByteArray(buffer.data(), count));
  }

  void SendUnsent() {
    if (descriptor < 0 || unsent.isEmpty()) return;
    const ssize_t count =
        send(descriptor, unsent.constData(), static_cast<size_t>(unsent.size()),
             MSG_NOSIGNAL);
    // An error is found again when reading.
    if (count > 0) unsent.remove(0, count);
    poller.WatchWritable(token, !unsent.isEmpty());
    if (unsent.isEmpty() && events.on_sent) events.on_sent();
  }

  void Write(const QByteArray& bytes) {
    if (descriptor < 0) return;
    ssize_t taken = 0;
    if (unsent.isEmpty()) {
      taken = send(descriptor, bytes.constData(),
                   static_cast<size_t>(bytes.size()), MSG_NOSIGNAL);
    }
    if (taken == bytes.size()) return;
    unsent.append(bytes.sliced(std::max<ssize_t>(taken, 0)));
    poller.WatchWritable(token, true);
  }

  void Fail(const std::string& reason) {
    Close();
    const auto gone = std::move(events.on_gone);
    if (gone) gone(reason);
  }

  void Close() {
    if (descriptor < 0) return;
    if (token != 0) poller.Remove(token);
    close(std::exchange(descriptor, -1));
    connected = false;
  }
};

peer_socket::peer_socket(socket_poller& poller, int descriptor)
    : impl_(std::make_unique<impl>(poller, descriptor, true)) {}

peer_socket::peer_socket(socket_poller& poller, const endpoint& peer)
    : impl_(std::make_unique<impl>(
          poller, socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), false)) {
  const int error = StartConnect(impl_->descriptor, peer);
  if (error == 0) return;
  impl_->Close();
  PostTo(&impl_->context,
         [self = impl_.get(), error] { self->Fail(strerror(error)); });
}

peer_socket::~peer_socket() { impl_->Close(); }

void peer_socket::Listen(peer_socket_events events) {
  impl_->events = std::move(events);
  impl_->Start();
}

bool peer_socket::Connected() const { return impl_->connected; }
void peer_socket::Write(const QByteArray& bytes) { impl_->Write(bytes); }
qsizetype peer_socket::Unsent() const { return impl_->unsent.size(); }
void peer_socket::Close() { impl_->Close(); }

}  // namespace anvilridge
