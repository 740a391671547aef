#include "base/signal_watch.h"

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

/// Written by the signal handler, by signal number; 0 for none. A handler and
/// an eventfd, rather than a signalfd, work whatever signal masks the threads
/// of libraries have.
std::array<std::atomic<int>, NSIG> signal_descriptors{};
static_assert(std::atomic<int>::is_always_lock_free);

void HandleSignal(int number) {
  const int saved_errno = errno;
  const uint64_t one = 1;
  // Fails only when the counter is full, and then the loop wakes anyway.
  [[maybe_unused]] const ssize_t written =
      write(signal_descriptors.at(static_cast<size_t>(number)).load(), &one,
            sizeof(one));
  errno = saved_errno;
}

void SetHandler(int number, void (*handler)(int)) {
  struct sigaction action {};
  action.sa_handler = handler;
  sigemptyset(&action.sa_mask);
  action.sa_flags = SA_RESTART;
  sigaction(number, &action, nullptr);
}

}  // namespace

struct signal_watch::impl {
  std::vector<int> signals;
  std::function<void()> on_signal;
  int descriptor = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  QSocketNotifier notifier{descriptor, QSocketNotifier::Read};

  void Read() const {
    uint64_t count = 0;
    if (read(descriptor, &count, sizeof(count)) == sizeof(count)) on_signal();
  }
};

signal_watch::signal_watch(std::vector<int> signals,
                           std::function<void()> on_signal)
    : impl_(std::make_unique<impl>()) {
  impl_->signals = std::move(signals);
  impl_->on_signal = std::move(on_signal);
  QObject::connect(&impl_->notifier, &QSocketNotifier::activated,
                   [this] { impl_->Read(); });
  for (const int number : impl_->signals) {
    signal_descriptors.at(static_cast<size_t>(number)) = impl_->descriptor;
    SetHandler(number, HandleSignal);
  }
}

signal_watch::~signal_watch() {
  for (const int number : impl_->signals) {
    SetHandler(number, SIG_DFL);
    signal_descriptors.at(static_cast<size_t>(number)) = 0;
  }
  close(impl_->descriptor);
}

}  // namespace anvilridge
