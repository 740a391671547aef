#ifndef ANVILRIDGE_PLACEMENT_LIST_SCHEDULE_H_
#define ANVILRIDGE_PLACEMENT_LIST_SCHEDULE_H_

#include <cstddef>

#include "absl/time/time.h"
#include "placement/decode_ledger.h"

namespace anvilridge {

/// Bounds on how often a home fetches the request list of each engine.
struct list_policy {
  /// Shortest interval between two routine lists of an engine.
  absl::Duration min_interval = absl::Milliseconds(500);
  /// Longest routine interval in a small deployment, which has bandwidth to
  /// spare.
  absl::Duration max_interval_if_small = absl::Seconds(1);
  /// A deployment with at most this many live daemons is small.
  int small_deployment_daemons = 16;
  /// Bandwidth for routine lists of all engines of one home.
  double bytes_per_second = 1000;
  /// Interval of the lists that look for requests of a lost owner, right after
  /// the loss and while a request without a live owner is to be cancelled.
  absl::Duration min_unsettled_interval = absl::Seconds(2);
  /// Time after the loss of a daemon in which its requests may have to be
  /// found: the lease, the grace for a resume and the grace for requests
  /// without a live owner.
  absl::Duration settle_time = absl::Seconds(20);
  /// Longest interval of the lists that look for requests of a lost owner. The
  /// interval grows to it with the time since the loss.
  absl::Duration max_unsettled_interval = absl::Seconds(8);
  /// Shortest interval between two lists of an engine that are fetched because
  /// a place is overdue.
  absl::Duration min_overdue_interval = absl::Seconds(10);
  /// A place is overdue when its reservation has outlasted its latest end by
  /// `overdue_margin` plus `overdue_use_fraction` of its longest use. Its
  /// release may have been lost.
  absl::Duration overdue_margin = absl::Seconds(5);
  double overdue_use_fraction = 0.5;
};

/// Conditions that determine when a home lists an engine next.
struct list_conditions {
  /// Bytes of one round of lists, one from every engine of the home.
  size_t round_bytes = 0;
  int live_daemons = 1;
  /// When a daemon was last lost or the home took over the engine, whichever is
  /// later.
  absl::Time unsettled_since = absl::InfinitePast();
  /// Whether the engine runs a request without a live owner that is to be
  /// cancelled once its grace is over.
  bool has_orphan = false;
  /// When the first place becomes overdue; infinite future for none.
  absl::Time first_overdue_at = absl::InfiniteFuture();
};

/// Returns the approximate size in bytes of a list with `rows` rows, including
/// its HTTP headers.
size_t EstimateListBytes(size_t rows);

/// Returns when the first place of `ledger` becomes overdue; infinite future if
/// nothing is reserved.
absl::Time NextOverdueTime(const list_policy& policy,
                           const decode_ledger& ledger);

/// Returns when to list an engine again that was last listed at `listed`.
absl::Time NextListTime(const list_policy& policy,
                        const list_conditions& situation, absl::Time listed);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_LIST_SCHEDULE_H_
