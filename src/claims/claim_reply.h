#ifndef ANVILRIDGE_CLAIMS_CLAIM_REPLY_H_
#define ANVILRIDGE_CLAIMS_CLAIM_REPLY_H_

#include <QCborMap>
#include <cstdint>
#include <optional>

#include "absl/status/status.h"
#include "claims/claim_index.h"
#include "claims/claim_record.h"

namespace anvilridge {

/// What became of a claim on its partition.
struct claim_reply {
  /// Ok when granted or when an earlier outcome is given.
  absl::Status status;
  /// Offset of the claim when granted.
  int64_t fencing_number = 0;
  /// The outcome of an earlier claim with this key.
  std::optional<claim_outcome> outcome;
  /// Whether a claim that was not granted may still come to hold its key, so
  /// that its holder must release it.
  bool may_linger = false;
};

/// Returns the reply that refuses a claim.
claim_reply RefusedReply(absl::Status status);

/// Returns the refusal of a claim whose key is held by another.
claim_reply RefusalFor(const claim_decision& decision);

QCborMap EncodeReply(const claim_reply& reply);

/// Decodes; an `upstream_failed` reply when malformed.
claim_reply DecodeReply(const QCborMap& map);

/// Encodes a record of a partition for another daemon.
QCborMap EncodePeerRecord(const claims_record& record, int partition);

/// A record sent by another daemon.
struct peer_record {
  int partition = 0;
  claims_record record;
};

/// Decodes; nothing when malformed.
std::optional<peer_record> DecodePeerRecord(const QCborMap& map);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_REPLY_H_
