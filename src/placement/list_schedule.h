#ifndef ANVILRIDGE_PLACEMENT_LIST_SCHEDULE_H_
#define ANVILRIDGE_PLACEMENT_LIST_SCHEDULE_H_

#include <cstddef>

#include "absl/time/time.h"
#include "placement/decode_ledger.h"

namespace anvilridge {

/// Bounds of listing engines' requests.
struct list_policy {
  /// An engine is never listed more often in routine.
  absl::Duration shortest = absl::Milliseconds(500);
  /// Longest interval in a small deployment, which has bandwidth to spare.
  absl::Duration longest_if_small = absl::Seconds(1);
  /// Most live daemons of a small deployment.
  int small_deployment = 16;
  /// Bytes per second that routine lists of all engines homed here may take.
  double bytes_per_second = 1000;
  /// Longest interval while requests of a lost owner may have to be found.
  absl::Duration unsettled = absl::Seconds(2);
  /// How long that is after daemons came or went: the lease, the grace for a
  /// resume and the grace for strangers.
  absl::Duration settle_time = absl::Seconds(20);
  /// How long before a promise lapses the engine is listed, so that a request
  /// that has begun is not taken for one that never came.
  absl::Duration before_lapse = absl::Milliseconds(500);
};

/// What decides when an engine is listed next.
struct list_situation {
  /// Bytes of one list of every engine homed here.
  size_t round_bytes = 0;
  int live_daemons = 1;
  /// When the live daemons last changed.
  absl::Time daemons_changed = absl::InfinitePast();
  /// Whether a request without a live owner waits out its grace.
  bool watching_orphan = false;
  /// When the earliest promise lapses that no list has shown; infinite future
  /// for none.
  absl::Time next_lapse = absl::InfiniteFuture();
};

/// Returns the approximate bytes of a list with `rows` rows, HTTP included.
size_t ListBytes(size_t rows);

/// Returns when the earliest promise of `ledger` lapses that no list has shown.
absl::Time NextLapse(const decode_ledger& ledger);

/// Returns when an engine listed at `listed` is to be listed again.
absl::Time NextList(const list_policy& policy, const list_situation& situation,
                    absl::Time listed);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_LIST_SCHEDULE_H_
