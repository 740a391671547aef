#include "base/event_thread.h"

#include <QThread>
#include <future>

#include "base/event_loop.h"

namespace anvilridge {

struct event_thread::impl {
  QThread thread;
  QObject context;
  /// Set by the thread itself when its loop has ended, which ThreadSanitizer
  /// can follow, unlike QThread::wait.
  std::promise<void> finished;
};

event_thread::event_thread(absl::string_view name)
    : impl_(std::make_unique<impl>()) {
  impl_->thread.setObjectName(
      QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size())));
  impl_->context.moveToThread(&impl_->thread);
  QObject::connect(&impl_->thread, &QThread::finished,
                   [this] { impl_->finished.set_value(); });
  impl_->thread.start();
}

event_thread::~event_thread() {
  PostTo(&impl_->context, [this] { impl_->thread.quit(); });
  impl_->finished.get_future().wait();
  impl_->thread.wait();
}

QObject* event_thread::Context() { return &impl_->context; }

void RunAndWait(QObject* context, const std::function<void()>& task) {
  const QThread* thread = context->thread();
  if (thread == QThread::currentThread() || !thread->isRunning()) {
    task();
    return;
  }
  std::promise<void> done;
  PostTo(context, [&task, &done] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

}  // namespace anvilridge
