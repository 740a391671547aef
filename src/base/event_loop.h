#ifndef ANVILRIDGE_BASE_EVENT_LOOP_H_
#define ANVILRIDGE_BASE_EVENT_LOOP_H_

#include <QObject>
#include <QTimer>
#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

#include "absl/time/time.h"
#include "base/posted_task.h"

namespace anvilridge {

/// Runs `task` on the thread of `context`, after what is queued there; drops
/// it when `context` is destroyed first.
inline void PostTo(QObject* context, std::function<void()> task) {
  QMetaObject::invokeMethod(context, posted_task(std::move(task)),
                            Qt::QueuedConnection);
}

/// Runs `task` once on the thread of `context` after `delay`, or at once if
/// that is negative; must be called on that thread.
inline void RunAfter(QObject* context, absl::Duration delay,
                     std::function<void()> task) {
  // Qt never starts a timer with a negative interval.
  delay = std::max(delay, absl::ZeroDuration());
  QTimer::singleShot(std::chrono::milliseconds(absl::ToInt64Milliseconds(
                         absl::Ceil(delay, absl::Milliseconds(1)))),
                     Qt::PreciseTimer, context, std::move(task));
}

/// Calls `task` every `period` while the returned timer lives.
inline std::unique_ptr<QTimer> RunEvery(absl::Duration period,
                                        std::function<void()> task) {
  auto timer = std::make_unique<QTimer>();
  timer->setTimerType(Qt::PreciseTimer);
  QObject::connect(timer.get(), &QTimer::timeout, std::move(task));
  timer->start(std::chrono::milliseconds(absl::ToInt64Milliseconds(period)));
  return timer;
}

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_EVENT_LOOP_H_
