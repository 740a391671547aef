#include "http1/tcp_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QObject>
#include <QSocketNotifier>
#include <array>
#include <cerrno>
#include <cstring>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/event_loop.h"

namespace anvilridge {
namespace {

// Bytes read at a time.
constexpr size_t kReadBytes = 16 << 10;
// Unacknowledged bytes break the connection after this time: a peer that lost
// power or is partitioned sends no reset.
constexpr int kUserTimeoutMs = 6000;

void SetOption(int descriptor, int level, int option, int value) {
  ::setsockopt(descriptor, level, option, &value, sizeof(value));
}

absl::Status ErrnoStatus(int error) {
  return absl::UnavailableError(std::strerror(error));
}

}  // namespace

struct tcp_stream::impl : std::enable_shared_from_this<impl> {
  tcp_events events;
  int descriptor = -1;
  bool connected = false;
  bool ended = false;
  std::string unsent;
  // How the connection has broken, if a write was the first to learn of it: the
  // kernel tells it once, and reads end as behind an orderly close.
  absl::Status write_error;
  QObject context;
  // Deleted later: one of them may be calling.
  QSocketNotifier* read_notifier = nullptr;
  QSocketNotifier* write_notifier = nullptr;

  ~impl() { Close(); }

  void Close() {
    ended = true;
    for (QSocketNotifier* notifier : {read_notifier, write_notifier}) {
      if (notifier == nullptr) continue;
      notifier->setEnabled(false);
      notifier->deleteLater();
    }
    read_notifier = nullptr;
    write_notifier = nullptr;
    if (descriptor >= 0) ::close(std::exchange(descriptor, -1));
  }

  void End(const absl::Status& status) {
    if (ended) return;
    Close();
    if (events.on_end) events.on_end(status);
  }

  void EndSoon(const absl::Status& status) {
    PostTo(&context, [weak = weak_from_this(), status] {
      if (const auto self = weak.lock()) self->End(status);
    });
  }

  void Connect(const endpoint& peer) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(peer.port);
    if (::inet_pton(AF_INET, peer.address.c_str(), &address.sin_addr) != 1) {
      return EndSoon(absl::InvalidArgumentError("not an IPv4 address"));
    }
    descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                          IPPROTO_TCP);
    if (descriptor < 0) return EndSoon(ErrnoStatus(errno));
    SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
      return EndSoon(ErrnoStatus(errno));
    }
    write_notifier = new QSocketNotifier(descriptor, QSocketNotifier::Write);
    QObject::connect(write_notifier, &QSocketNotifier::activated, &context,
                     [this] { OnWritable(); });
  }

  void OnWritable() {
    const auto self = shared_from_this();
    if (ended) return;
    write_notifier->setEnabled(false);
    if (connected) return Flush();
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return End(ErrnoStatus(error));
    connected = true;
    read_notifier = new QSocketNotifier(descriptor, QSocketNotifier::Read);
    QObject::connect(read_notifier, &QSocketNotifier::activated, &context,
                     [this] { OnReadable(); });
    if (events.on_connected) events.on_connected();
  }

  void OnReadable() {
    const auto self = shared_from_this();
    std::array<char, kReadBytes> buffer;
    while (!ended) {
      const ssize_t read = ::recv(descriptor, buffer.data(), buffer.size(), 0);
      if (read == 0) return End(write_error);
      if (read < 0 && errno == EINTR) continue;
      if (read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
      if (read < 0) return End(ErrnoStatus(errno));
      const auto size = static_cast<size_t>(read);
      if (events.on_bytes) {
        events.on_bytes(absl::string_view(buffer.data(), size));
      }
      // Less than asked for: nothing more is there.
      if (size < buffer.size()) return;
    }
  }

  void Flush() {
    size_t sent = 0;
    while (sent < unsent.size()) {
      const ssize_t written = ::send(descriptor, unsent.data() + sent,
                                     unsent.size() - sent, MSG_NOSIGNAL);
      if (written < 0 && errno == EINTR) continue;
      if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        write_notifier->setEnabled(true);
        break;
      }
      if (written < 0) {
        // What the peer sent before may still be read. Behind its orderly close
        // a write fails with EPIPE.
        if (errno != EPIPE) write_error = ErrnoStatus(errno);
        break;
      }
      sent += static_cast<size_t>(written);
    }
    unsent.erase(0, sent);
  }
};

tcp_stream::tcp_stream(const endpoint& peer, tcp_events events)
    : impl_(std::make_shared<impl>()) {
  impl_->events = std::move(events);
  impl_->Connect(peer);
}

tcp_stream::~tcp_stream() { impl_->Close(); }

void tcp_stream::Write(absl::string_view bytes) {
  if (impl_->ended) return;
  const bool idle = impl_->unsent.empty();
  absl::StrAppend(&impl_->unsent, bytes);
  if (idle) impl_->Flush();
}

size_t tcp_stream::UnsentBytes() const { return impl_->unsent.size(); }

bool tcp_stream::HasUnread() const {
  if (impl_->ended) return true;
  char byte = 0;
  const ssize_t read =
      ::recv(impl_->descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return read >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace anvilridge
