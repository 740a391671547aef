#ifndef ANVILRIDGE_REQUESTS_CALL_CLAIM_H_
#define ANVILRIDGE_REQUESTS_CALL_CLAIM_H_

#include <cstdint>
#include <string>
#include <variant>

#include "absl/time/time.h"

namespace anvilridge {

/// Asks for the right to run a call that may not be repeated.
struct call_claim {
  std::string team;
  std::string route;
  /// The caller's Idempotency-Key.
  std::string key;
  /// SHA-256 of method, target and body: the same key with another hash is a
  /// conflict.
  std::string body_hash;
};

/// The right to send the call once, until `send_by`.
struct claimed_call {
  std::string claim_id;
  /// Rises with every claim of the key; sent as `X-Fencing-Number`.
  int64_t fence = 0;
  /// By the monotonic clock.
  absl::Time send_by;
};

/// The answer that an earlier run of the same call got.
struct stored_answer {
  int http_status = 0;
  std::string content_type;
  std::string body;
  /// False when the body was too large to keep.
  bool body_kept = true;
};

using claim_reply = std::variant<claimed_call, stored_answer>;

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_CALL_CLAIM_H_
