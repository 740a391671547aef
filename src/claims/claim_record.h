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

/// Number of streams that claims are spread over; fixed, since a key must
/// always be claimed on the same stream.
inline constexpr int kClaimPartitions = 64;

/// Longest time from the start of a claim until its holder may no longer send.
inline constexpr absl::Duration kMaxSendWindow = absl::Seconds(3);

/// Bodies of outcomes up to this size are stored.
inline constexpr size_t kMaxOutcomeBodyBytes = 16 << 10;

/// Says that `holder` wants to run the call with `key`.
struct claim_record {
  /// Unique to the intent: an append that is tried again repeats it.
  std::string claim_id;
  std::string team;
  std::string key;
  std::string route;
  std::string body_hash;
  owner_id holder;
  /// How long after the claim the holder may begin to send.
  absl::Duration send_window;
  /// How long the upstream's answer may take after that.
  absl::Duration answer_window;
};

/// What the upstream answered.
struct claim_outcome {
  int http_status = 0;
  std::string content_type;
  std::string body;
  /// False when the body was too large to be stored.
  bool body_kept = true;
  /// SHA-256 of the whole body, hexadecimal.
  std::string body_hash;
};

struct outcome_record {
  std::string claim_id;
  claim_outcome outcome;
};

/// Says that the holder has not sent the call and never will.
struct release_record {
  std::string claim_id;
};

/// One record of a claims stream.
using claims_record =
    std::variant<claim_record, outcome_record, release_record>;

/// Returns the number of the stream of a team's key.
int PartitionOf(absl::string_view team, absl::string_view key);

/// Returns the stream's name in the platform log, `claims-NN`.
std::string ClaimsStream(int partition);

/// Drops a body that is too large to be stored; sets its hash.
claim_outcome BoundOutcome(claim_outcome outcome);

/// Returns the id under which a record is appended.
std::string RecordId(const claims_record& record);

QJsonObject EncodeClaimsRecord(const claims_record& record);

/// Decodes; `malformed_request`, naming the field, when a field is missing, of
/// another type or out of range.
absl::StatusOr<claims_record> DecodeClaimsRecord(const QJsonObject& json);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_RECORD_H_
