#ifndef ANVILRIDGE_DISPATCH_DAEMON_COUNT_H_
#define ANVILRIDGE_DISPATCH_DAEMON_COUNT_H_

#include <deque>
#include <optional>

#include "absl/time/time.h"

namespace anvilridge {

/// Time after the first count in which a daemon may not have found all others.
inline constexpr absl::Duration kCountSettleTime = absl::Seconds(3);

/// Time for which a larger count stays in force. A daemon that is cut off from
/// others can't tell them from daemons that have ended.
inline constexpr absl::Duration kCountHoldTime = absl::Minutes(10);

/// A count of daemons from the time at which it was observed.
struct observed_count {
  absl::Time time;
  int daemons = 0;
};

/// Number of daemons among which limits of the whole deployment are divided, as
/// one daemon observes it.
struct daemon_count {
  /// Time of the first observation of this process.
  absl::Time first = absl::InfiniteFuture();
  /// Observations that are or will be the largest within the hold time, oldest
  /// and largest first.
  std::deque<observed_count> observed;
};

/// Records that there are `daemons` daemons from `now` on, this one included.
void RecordDaemonCount(daemon_count& count, int daemons, absl::Time now);

/// Returns the largest number of daemons within the hold time, or nothing while
/// the count is not settled.
std::optional<int> SettledDaemonCount(const daemon_count& count,
                                      absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DAEMON_COUNT_H_
