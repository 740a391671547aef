#ifndef ANVILRIDGE_BASE_POSTED_TASK_H_
#define ANVILRIDGE_BASE_POSTED_TASK_H_

#include <functional>
#include <utility>

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#endif

namespace anvilridge {

/// A task on its way through Qt's event queue to another thread. The queue's
/// lock orders the two threads, but ThreadSanitizer can't see it in a Qt built
/// without instrumentation, so each hand-over is announced to it here.
class posted_task {
 public:
  explicit posted_task(std::function<void()> task) : task_(std::move(task)) {}
  posted_task(const posted_task& other) : task_(other.task_) { Release(); }
  posted_task(posted_task&& other) noexcept : task_(std::move(other.task_)) {
    Release();
  }
  posted_task& operator=(const posted_task&) = delete;
  posted_task& operator=(posted_task&&) = delete;
  ~posted_task() { Acquire(); }

  /// Runs the task once and destroys it here: Qt may leave the last reference
  /// to its functor with the posting thread, where the task must not end.
  void operator()() {
    Acquire();
    if (const auto task = std::exchange(task_, nullptr)) task();
    Release();
  }

 private:
#ifdef __SANITIZE_THREAD__
  void Release() { __tsan_release(this); }
  void Acquire() { __tsan_acquire(this); }
#else
  void Release() {}
  void Acquire() {}
#endif

  std::function<void()> task_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_POSTED_TASK_H_
