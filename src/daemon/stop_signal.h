#ifndef ANVILRIDGE_DAEMON_STOP_SIGNAL_H_
#define ANVILRIDGE_DAEMON_STOP_SIGNAL_H_

#include <functional>
#include <memory>

namespace anvilridge {

/// Turns SIGTERM and SIGINT into calls on the event loop of the thread that
/// made it. One at a time in a process; the signals have their default effect
/// again once it is destroyed.
class stop_signal {
 public:
  /// `on_stop` is called for each signal that arrives, several close together
  /// counting as one.
  explicit stop_signal(std::function<void()> on_stop);
  ~stop_signal();
  stop_signal(const stop_signal&) = delete;
  stop_signal& operator=(const stop_signal&) = delete;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_STOP_SIGNAL_H_
