#ifndef ANVILRIDGE_CLAIMS_KEY_AGE_H_
#define ANVILRIDGE_CLAIMS_KEY_AGE_H_

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// Longest time by which a key's timestamp may be ahead of this daemon's clock.
inline constexpr absl::Duration kMaxKeyClockLead = absl::Minutes(1);

/// Largest assumed difference between a daemon's clock and the log's clock.
inline constexpr absl::Duration kMaxLogClockSkew = absl::Minutes(1);

/// Returns the creation time contained in an idempotency key. A key is either a
/// UUIDv7 (RFC 9562) or `<unix seconds>-<letters, digits, '-', '_', '.'>`; any
/// other key is a `key_malformed` error.
absl::StatusOr<absl::Time> ParseKeyTime(absl::string_view key);

/// Returns a `key_malformed` error if `key_time` is more than
/// `kMaxKeyClockLead` after `wall_now`. The log could drop the first claim of
/// such a key while the key itself still counts as unexpired, so that a second
/// claim would be granted.
absl::Status CheckKeyNotInFuture(absl::Time key_time, absl::Time wall_now);

/// Returns a `key_expired` error if the key may have been claimed before
/// `complete_since`, the earliest time from which the log still has every
/// record. No key is claimed earlier than `key_time - kMaxKeyClockLead -
/// kMaxLogClockSkew`, so the log still has every claim of an accepted key.
absl::Status CheckKeyNotExpired(absl::Time key_time, absl::Time complete_since);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_KEY_AGE_H_
