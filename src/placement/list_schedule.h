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
  /// How long that is after a daemon was lost: the lease, the grace for a
  /// resume and the grace for strangers.
  absl::Duration settle_time = absl::Seconds(20);
  /// Longest such interval, reached as the loss grows older.
  absl::Duration longest_unsettled = absl::Seconds(8);
  /// An engine with a place that should have come free is listed this long
  /// after the last list.
  absl::Duration overdue_interval = absl::Seconds(10);
  /// How long past its longest use, and past this share of it again, a place
  /// is overdue: its release may have been lost.
  absl::Duration overdue_margin = absl::Seconds(5);
  double overdue_share = 0.5;
};

/// What decides when an engine is listed next.
struct list_situation {
  /// Bytes of one list of every engine homed here.
  size_t round_bytes = 0;
  int live_daemons = 1;
  /// When a daemon was last lost, or the engine came here if that is later.
  absl::Time unsettled_since = absl::InfinitePast();
  /// Whether a request without a live owner waits out its grace.
  bool watching_orphan = false;
  /// When the first place is overdue; infinite future for none.
  absl::Time overdue = absl::InfiniteFuture();
};

/// Returns the approximate bytes of a list with `rows` rows, HTTP included.
size_t ListBytes(size_t rows);

/// Returns when the first place of `ledger` is overdue.
absl::Time NextOverdue(const list_policy& policy, const decode_ledger& ledger);

/// Returns when an engine listed at `listed` is to be listed again.
absl::Time NextList(const list_policy& policy, const list_situation& situation,
                    absl::Time listed);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_LIST_SCHEDULE_H_
