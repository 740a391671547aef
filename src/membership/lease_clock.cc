#include "membership/lease_clock.h"

namespace anvilridge {

lease_clock::lease_clock(absl::Duration lease, uint64_t incarnation,
                         absl::Time now)
    : lease_(lease),
      renewed_ns_(absl::ToUnixNanos(now)),
      incarnation_(incarnation) {}

bool lease_clock::Renew(absl::Time now) {
  if (!IsValid(now)) return false;
  renewed_ns_ = absl::ToUnixNanos(now);
  return true;
}

void lease_clock::Expire() { expired_incarnation_ = incarnation_.load(); }

void lease_clock::Restart(uint64_t incarnation, absl::Time now) {
  Expire();
  // The renewal time is written before the incarnation, so that no thread
  // checks the new incarnation against the renewal time of the old one.
  renewed_ns_ = absl::ToUnixNanos(now);
  incarnation_ = incarnation;
}

bool lease_clock::IsValid(absl::Time now) const {
  return IsValid(incarnation_.load(), now);
}

bool lease_clock::IsValid(uint64_t incarnation, absl::Time now) const {
  if (incarnation != incarnation_.load()) return false;
  if (expired_incarnation_.load() >= incarnation) return false;
  const absl::Time renewed = absl::FromUnixNanos(renewed_ns_.load());
  if (now - renewed <= lease_) return true;
  uint64_t expired = expired_incarnation_.load();
  while (expired < incarnation &&
         !expired_incarnation_.compare_exchange_weak(expired, incarnation)) {
  }
  return false;
}

}  // namespace anvilridge
