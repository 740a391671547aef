#ifndef ANVILRIDGE_BASE_EVENT_THREAD_H_
#define ANVILRIDGE_BASE_EVENT_THREAD_H_

#include <QObject>
#include <functional>
#include <memory>

#include "absl/strings/string_view.h"

namespace anvilridge {

/// A thread that runs a Qt event loop while this lives. Needs a
/// QCoreApplication.
class event_thread {
 public:
  /// Starts the thread; `name` is shown by the system's tools.
  explicit event_thread(absl::string_view name);
  /// Runs what is queued, then ends the thread and waits for it.
  ~event_thread();
  event_thread(const event_thread&) = delete;
  event_thread& operator=(const event_thread&) = delete;

  /// An object that lives on the thread, for `PostTo` and `RunAfter`.
  QObject* Context();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Runs `task` on the thread of `context` and waits until it has run. For
/// starting and stopping only: at other times neither control nor traffic
/// threads may block.
void RunAndWait(QObject* context, const std::function<void()>& task);

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_EVENT_THREAD_H_
