#include "base/deadline_queue.h"

#include <algorithm>
#include <chrono>

#include "base/clock.h"

namespace anvilridge {

deadline_queue::deadline_queue(std::function<void(uint64_t id)> on_due)
    : on_due_(std::move(on_due)) {
  timer_.setSingleShot(true);
  timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&timer_, &QTimer::timeout, [this] { FireDue(); });
}

void deadline_queue::Set(uint64_t id, absl::Time deadline) {
  Remove(id);
  if (deadline == absl::InfiniteFuture()) return;
  by_time_.emplace(deadline, id);
  by_id_[id] = deadline;
  // A timer that fires early for a removed deadline does no harm, so it is
  // only moved when an earlier one appears.
  if (deadline < armed_for_) Rearm();
}

void deadline_queue::Remove(uint64_t id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  by_time_.erase({found->second, id});
  by_id_.erase(found);
}

void deadline_queue::Rearm() {
  armed_for_ = absl::InfiniteFuture();
  if (by_time_.empty()) return;
  armed_for_ = by_time_.begin()->first;
  const absl::Duration delay =
      std::max(armed_for_ - MonotonicNow(), absl::ZeroDuration());
  // A longer delay than a timer holds is cut; it then fires with nothing due.
  const absl::Duration bounded = std::min(delay, absl::Hours(1));
  timer_.start(std::chrono::milliseconds(
      absl::ToInt64Milliseconds(absl::Ceil(bounded, absl::Milliseconds(1)))));
}

void deadline_queue::FireDue() {
  const absl::Time now = MonotonicNow();
  while (!by_time_.empty() && by_time_.begin()->first <= now) {
    const uint64_t id = by_time_.begin()->second;
    Remove(id);
    on_due_(id);
  }
  Rearm();
}

}  // namespace anvilridge
