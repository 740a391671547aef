#ifndef ANVILRIDGE_CLAIMS_CLAIM_REPLY_H_
#define ANVILRIDGE_CLAIMS_CLAIM_REPLY_H_

#include <QCborMap>
#include <cstdint>
#include <optional>

#include "absl/status/status.h"
#include "claims/claim_index.h"
#include "claims/claim_record.h"

namespace anvilridge {

/// Reply of a partition to a claim.
struct claim_reply {
  /// OK if the claim was granted or `outcome` is set.
  absl::Status status;
  /// Log offset of the claim if it was granted.
  int64_t fencing_number = 0;
  /// Stored outcome of an earlier claim of the same key.
  std::optional<claim_outcome> outcome;
  /// Whether the daemon that made the claim must release it: the claim was not
  /// granted, but its record is in the log or may still be appended, so that it
  /// could come to hold the key.
  bool needs_release = false;
};

/// Returns a reply that refuses a claim with the error `status`.
claim_reply MakeRefusal(absl::Status status);

/// Returns a reply that refuses a claim for a verdict of `conflict`,
/// `outcome_unknown`, `in_progress` or `lost`. The last two give
/// `key_in_progress` with a time to retry after.
claim_reply MakeHeldKeyRefusal(const claim_decision& decision);

/// Returns `reply` in the form sent to another daemon.
QCborMap EncodeReply(const claim_reply& reply);

/// Decodes a reply encoded by `EncodeReply`. A malformed one gives a reply with
/// an `upstream_failed` error.
claim_reply DecodeReply(const QCborMap& map);

/// Returns a record and its partition in the form sent to another daemon.
QCborMap EncodePeerRecord(const claims_record& record, int partition);

/// Record received from another daemon, and its partition.
struct peer_record {
  int partition = 0;
  claims_record record;
};

/// Decodes a record encoded by `EncodePeerRecord`. Returns `nullopt` if it is
/// malformed or its partition is out of range.
std::optional<peer_record> DecodePeerRecord(const QCborMap& map);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_REPLY_H_
