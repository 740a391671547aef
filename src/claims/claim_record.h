#ifndef ANVILRIDGE_CLAIMS_CLAIM_RECORD_H_
#define ANVILRIDGE_CLAIMS_CLAIM_RECORD_H_

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <variant>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/ids.h"

namespace anvilridge {

/// Number of log streams that share all claims, one per partition. The number
/// must never change, since a key must always be claimed on the same stream.
inline constexpr int kClaimPartitions = 64;

/// Longest time after the start of a claim in which its holder may begin to
/// send the call.
inline constexpr absl::Duration kMaxSendWindow = absl::Seconds(3);

/// Largest response body that is stored with an outcome.
inline constexpr size_t kMaxOutcomeBodyBytes = 16 << 10;

/// Claim of an idempotency key, which lets `holder` send the call if it is
/// granted.
struct claim_record {
  /// Unique id of the claim. A repeated append of the claim has the same id.
  std::string claim_id;
  std::string team;
  std::string key;
  std::string route;
  std::string body_hash;
  owner_id holder;
  /// Time after the start of the claim in which the holder may begin to send
  /// the call.
  absl::Duration send_window;
  /// Time after the send window in which the upstream may respond.
  absl::Duration answer_window;
};

/// Response of the upstream to a claimed call.
struct claim_outcome {
  int http_status = 0;
  std::string content_type;
  std::string body;
  /// False if `body` was dropped because it exceeded `kMaxOutcomeBodyBytes`.
  bool body_kept = true;
  /// Hexadecimal SHA-256 of the complete body, also when it was dropped.
  std::string body_hash;
};

/// Outcome of a claimed call.
struct outcome_record {
  std::string claim_id;
  claim_outcome outcome;
};

/// Release of a claim: its holder has not sent the call and never will.
struct release_record {
  std::string claim_id;
};

/// Record of a claims stream.
using claims_record =
    std::variant<claim_record, outcome_record, release_record>;

/// Returns the partition of a team's key, from 0 to `kClaimPartitions` - 1.
int PartitionOf(absl::string_view team, absl::string_view key);

/// Returns the name of a partition's stream in the platform log, `claims-NN`.
std::string ClaimsStreamName(int partition);

/// Returns `outcome` with its body hash set and without its body if that is
/// larger than `kMaxOutcomeBodyBytes`.
claim_outcome LimitOutcomeBody(claim_outcome outcome);

/// Returns the id with which `record` is appended to the log.
std::string RecordId(const claims_record& record);

/// Returns `record` in the JSON form stored in the log.
QJsonObject EncodeClaimsRecord(const claims_record& record);

/// Decodes a record encoded by `EncodeClaimsRecord`. Returns a
/// `malformed_request` error that names the field if a field is missing, has
/// the wrong type or is out of range.
absl::StatusOr<claims_record> DecodeClaimsRecord(const QJsonObject& json);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_RECORD_H_
