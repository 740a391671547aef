#ifndef ANVILRIDGE_MEMBERSHIP_LEASE_CLOCK_H_
#define ANVILRIDGE_MEMBERSHIP_LEASE_CLOCK_H_

#include <atomic>
#include <cstdint>

#include "absl/time/time.h"

namespace anvilridge {

/// Notices that the process stood still longer than its lease. One thread
/// renews; any thread checks.
class lease_clock {
 public:
  lease_clock(absl::Duration lease, uint64_t incarnation, absl::Time now);

  /// Renews the lease; returns false, without renewing, when it has expired.
  bool Renew(absl::Time now);

  /// Ends the current incarnation.
  void Expire();

  /// Begins a new incarnation after the earlier one has expired.
  void Restart(uint64_t incarnation, absl::Time now);

  /// Whether the lease of the current incarnation holds; an expiry that is
  /// seen here is final for it.
  bool Valid(absl::Time now) const;

  /// Whether `incarnation` is the current one and its lease holds.
  bool Valid(uint64_t incarnation, absl::Time now) const;

 private:
  const absl::Duration lease_;
  std::atomic<int64_t> renewed_ns_;
  std::atomic<uint64_t> incarnation_;
  /// The latest incarnation that has expired.
  mutable std::atomic<uint64_t> expired_incarnation_ = 0;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_LEASE_CLOCK_H_
