#ifndef ANVILRIDGE_BASE_SIGNAL_WATCH_H_
#define ANVILRIDGE_BASE_SIGNAL_WATCH_H_

#include <functional>
#include <memory>
#include <vector>

namespace anvilridge {

/// Turns signals of the process into calls on the event loop of the thread that
/// made it. Each signal is watched by one of these at a time; it has its
/// default effect again once that is destroyed.
class signal_watch {
 public:
  /// `on_signal` is called for each of `signals` that arrives, several close
  /// together counting as one.
  signal_watch(std::vector<int> signals, std::function<void()> on_signal);
  ~signal_watch();
  signal_watch(const signal_watch&) = delete;
  signal_watch& operator=(const signal_watch&) = delete;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_SIGNAL_WATCH_H_
