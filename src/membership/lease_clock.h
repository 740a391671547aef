#ifndef ANVILRIDGE_MEMBERSHIP_LEASE_CLOCK_H_
#define ANVILRIDGE_MEMBERSHIP_LEASE_CLOCK_H_

#include <atomic>
#include <cstdint>

#include "absl/time/time.h"

namespace anvilridge {

/// Lease of the incarnation of this process; it expires when the process is
/// paused for longer than the lease. `IsValid` may be called on any thread,
/// all other functions on one thread only.
class lease_clock {
 public:
  /// Starts the lease of `incarnation` at `now`; it expires when it is not
  /// renewed for longer than `lease`.
  lease_clock(absl::Duration lease, uint64_t incarnation, absl::Time now);

  /// Renews the lease; returns false and leaves it expired when it has expired.
  bool Renew(absl::Time now);

  /// Ends the current incarnation.
  void Expire();

  /// Ends the current incarnation and starts the lease of `incarnation`, which
  /// must be higher.
  void Restart(uint64_t incarnation, absl::Time now);

  /// Returns whether the lease of the current incarnation is valid. A lease
  /// found expired once stays expired, also for an earlier `now`.
  bool IsValid(absl::Time now) const;

  /// Returns whether `incarnation` is the current one and its lease is valid.
  bool IsValid(uint64_t incarnation, absl::Time now) const;

 private:
  const absl::Duration lease_;
  std::atomic<int64_t> renewed_ns_;
  std::atomic<uint64_t> incarnation_;
  /// Highest incarnation that has expired; 0 if none has.
  mutable std::atomic<uint64_t> expired_incarnation_ = 0;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_LEASE_CLOCK_H_
