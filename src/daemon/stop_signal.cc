#include "daemon/stop_signal.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <QSocketNotifier>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <utility>

namespace anvilridge {
namespace {

constexpr std::array kSignals = {SIGTERM, SIGINT};

/// Written by the signal handler. A handler and an eventfd, rather than a
/// signalfd, work whatever signal masks the threads of libraries have.
std::atomic<int> signal_descriptor{-1};
static_assert(std::atomic<int>::is_always_lock_free);

void HandleSignal(int) {
  const int saved_errno = errno;
  const uint64_t one = 1;
  // Fails only when the counter is full, and then the loop wakes anyway.
  [[maybe_unused]] const ssize_t written =
      write(signal_descriptor.load(), &one, sizeof(one));
  errno = saved_errno;
}

void SetHandlers(void (*handler)(int)) {
  struct sigaction action {};
  action.sa_handler = handler;
  sigemptyset(&action.sa_mask);
  action.sa_flags = SA_RESTART;
  for (const int number : kSignals) sigaction(number, &action, nullptr);
}

}  // namespace

struct stop_signal::impl {
  std::function<void()> on_stop;
  int descriptor = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  QSocketNotifier notifier{descriptor, QSocketNotifier::Read};

  void Read() const {
    uint64_t count = 0;
    if (read(descriptor, &count, sizeof(count)) == sizeof(count)) on_stop();
  }
};

stop_signal::stop_signal(std::function<void()> on_stop)
    : impl_(std::make_unique<impl>()) {
  impl_->on_stop = std::move(on_stop);
  QObject::connect(&impl_->notifier, &QSocketNotifier::activated,
                   [this] { impl_->Read(); });
  signal_descriptor = impl_->descriptor;
  SetHandlers(HandleSignal);
}

stop_signal::~stop_signal() {
  SetHandlers(SIG_DFL);
  signal_descriptor = -1;
  close(impl_->descriptor);
}

}  // namespace anvilridge
