#include "peer/socket_poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <QObject>
#include <QSocketNotifier>
#include <array>
#include <utility>

#include "absl/container/flat_hash_map.h"

namespace anvilridge {
namespace {

// Sockets served in one turn of the event loop.
constexpr int kMaxEvents = 64;

struct polled_socket {
  int descriptor = -1;
  std::shared_ptr<socket_poller::callback> ready;
};

}  // namespace

struct socket_poller::impl {
  int epoll = epoll_create1(EPOLL_CLOEXEC);
  uint64_t last_token = 0;
  absl::flat_hash_map<uint64_t, polled_socket> sockets;
  QSocketNotifier notifier{epoll, QSocketNotifier::Read};

  impl() {
    QObject::connect(&notifier, &QSocketNotifier::activated, &notifier,
                     [this] { Serve(); });
  }

  ~impl() {
    notifier.setEnabled(false);
    close(epoll);
  }

  void Control(int operation, uint64_t token, uint32_t events) const {
    epoll_event event{};
    event.events = events;
    event.data.u64 = token;
    epoll_ctl(epoll, operation, sockets.at(token).descriptor, &event);
  }

  void Serve() {
    std::array<epoll_event, kMaxEvents> events{};
    const int count = epoll_wait(epoll, events.data(), kMaxEvents, 0);
    for (int i = 0; i < count; ++i) Tell(events.at(static_cast<size_t>(i)));
  }

  // A socket may have been removed by what was told of another.
  void Tell(const epoll_event& event) const {
    const auto found = sockets.find(event.data.u64);
    if (found == sockets.end()) return;
    const std::shared_ptr<callback> ready = found->second.ready;
    socket_readiness readiness;
    readiness.readable = (event.events & ~uint32_t{EPOLLOUT}) != 0;
    readiness.writable = (event.events & EPOLLOUT) != 0;
    (*ready)(readiness);
  }
};

socket_poller::socket_poller() : impl_(std::make_unique<impl>()) {}
socket_poller::~socket_poller() = default;

uint64_t socket_poller::Add(int descriptor, callback ready) {
  const uint64_t token = ++impl_->last_token;
  impl_->sockets[token] = {descriptor,
                           std::make_shared<callback>(std::move(ready))};
  impl_->Control(EPOLL_CTL_ADD, token, EPOLLIN);
  return token;
}

void socket_poller::WatchWritable(uint64_t token, bool watch) {
  impl_->Control(EPOLL_CTL_MOD, token, watch ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

void socket_poller::Remove(uint64_t token) {
  impl_->Control(EPOLL_CTL_DEL, token, 0);
  impl_->sockets.erase(token);
}

}  // namespace anvilridge
