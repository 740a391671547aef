#ifndef ANVILRIDGE_REVIEW_DRILL_CROWD_H_
#define ANVILRIDGE_REVIEW_DRILL_CROWD_H_

#include <atomic>
#include <cstdint>
#include <string>

namespace review {

/// What each caller of a crowd sends on its channel to the callers' port.
struct crowd_plan {
  int callers = 0;
  /// Sent first, and then `block` again and again.
  std::string head;
  std::string block;
  /// Bytes that each caller sends at most on one channel.
  size_t bytes_of_each = 0;
  /// Bytes that all send in a ms at most.
  int64_t bytes_per_ms = 50000;
  int64_t duration_ms = 0;
  /// Whether a caller reads its answer, and then comes again on a new channel.
  /// Otherwise it reads nothing.
  bool reads = false;
};

/// Runs a crowd of callers against the daemon at `ip` until its time is up or
/// `stop` is set. Returns the number of bytes sent.
int64_t RunCrowd(const std::string& ip, const crowd_plan& plan,
                 const std::atomic<bool>& stop);

}  // namespace review

#endif  // ANVILRIDGE_REVIEW_DRILL_CROWD_H_
