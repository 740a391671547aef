#ifndef ANVILRIDGE_CLAIMS_KEY_AGE_H_
#define ANVILRIDGE_CLAIMS_KEY_AGE_H_

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// How far a key may lie in the future of this daemon's clock.
inline constexpr absl::Duration kMaxKeyLead = absl::Minutes(1);

/// Largest difference assumed between the clocks of a daemon and of the log.
inline constexpr absl::Duration kMaxLogSkew = absl::Minutes(1);

/// Returns when an idempotency key says it was made: a UUIDv7 (RFC 9562) or
/// `<unix seconds>-<letters, digits, '-', '_', '.'>`. Errors: `key_malformed`.
absl::StatusOr<absl::Time> KeyTime(absl::string_view key);

/// Refuses a key made too far in the future as `key_malformed`: a claim for it
/// could outlive the record of an earlier one.
absl::Status CheckKeyNotEarly(absl::Time key_time, absl::Time wall_now);

/// Refuses as `key_expired` a key that may have been claimed before
/// `complete_since`, the time since when the log keeps all records. A key is
/// claimed no earlier than its own time less lead and skew, so every claim of
/// an accepted key can still be read.
absl::Status CheckKeyNotExpired(absl::Time key_time, absl::Time complete_since);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_KEY_AGE_H_
