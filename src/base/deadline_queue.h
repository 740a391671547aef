#ifndef ANVILRIDGE_BASE_DEADLINE_QUEUE_H_
#define ANVILRIDGE_BASE_DEADLINE_QUEUE_H_

#include <QTimer>
#include <cstdint>
#include <functional>
#include <set>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace anvilridge {

/// Deadlines of many operations over one timer, by the monotonic clock, on the
/// thread that made it, which must run a Qt event loop.
class deadline_queue {
 public:
  /// `on_due` is called with the id of each deadline that has passed; the
  /// deadline is then no longer in the queue. It may set and remove others.
  explicit deadline_queue(std::function<void(uint64_t id)> on_due);

  /// Sets or replaces the deadline of `id`; an infinite one is not kept.
  void Set(uint64_t id, absl::Time deadline);

  /// Forgets the deadline of `id`, if there is one.
  void Remove(uint64_t id);

 private:
  void Rearm();
  void FireDue();

  std::function<void(uint64_t id)> on_due_;
  std::set<std::pair<absl::Time, uint64_t>> by_time_;
  absl::flat_hash_map<uint64_t, absl::Time> by_id_;
  absl::Time armed_for_ = absl::InfiniteFuture();
  QTimer timer_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_DEADLINE_QUEUE_H_
