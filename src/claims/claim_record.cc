#include "claims/claim_record.h"

#include <xxhash.h>

#include <QCryptographicHash>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/error_kind.h"
#include "upstreams/json_reader.h"

namespace anvilridge {
namespace {

// Upper bound on windows in decoded records, far longer than any real window.
constexpr absl::Duration kMaxDecodedWindow = absl::Hours(24);

// HTTP statuses have three digits.
constexpr int kMinHttpStatus = 100;
constexpr int kMaxHttpStatus = 999;

QString Utf8ToQString(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

QByteArray ToQByteArray(absl::string_view text) {
  return {text.data(), static_cast<qsizetype>(text.size())};
}

absl::Status MalformedRecord(absl::string_view problem) {
  return MakeError(error_kind::malformed_request,
                   absl::StrCat("claims record: ", problem));
}

absl::Status CheckFields(const json_reader& fields) {
  return fields.status.ok() ? absl::OkStatus()
                            : MalformedRecord(ProblemOf(fields));
}

absl::StatusOr<absl::Duration> ReadWindow(json_reader& fields,
                                          const char* name) {
  const absl::Duration window = absl::Milliseconds(ReadInteger(fields, name));
  if (window <= kMaxDecodedWindow) return window;
  return MalformedRecord(absl::StrCat(name, " is longer than 24 hours"));
}

QJsonObject EncodeClaim(const claim_record& claim) {
  return {
      {"type", "claim"},
      {"claim_id", Utf8ToQString(claim.claim_id)},
      {"team", Utf8ToQString(claim.team)},
      {"key", Utf8ToQString(claim.key)},
      {"route", Utf8ToQString(claim.route)},
      {"body_hash", Utf8ToQString(claim.body_hash)},
      {"holder", Utf8ToQString(OwnerText(claim.holder))},
      {"send_window_ms",
       static_cast<qint64>(absl::ToInt64Milliseconds(claim.send_window))},
      {"answer_window_ms",
       static_cast<qint64>(absl::ToInt64Milliseconds(claim.answer_window))}};
}

QJsonObject EncodeOutcome(const outcome_record& record) {
  const claim_outcome& outcome = record.outcome;
  return {{"type", "outcome"},
          {"claim_id", Utf8ToQString(record.claim_id)},
          {"http_status", outcome.http_status},
          {"content_type", Utf8ToQString(outcome.content_type)},
          {"body", QString::fromLatin1(ToQByteArray(outcome.body).toBase64())},
          {"body_kept", outcome.body_kept},
          {"body_hash", Utf8ToQString(outcome.body_hash)}};
}

absl::StatusOr<claims_record> DecodeClaim(json_reader& fields) {
  claim_record claim;
  claim.claim_id = ReadText(fields, "claim_id");
  claim.team = ReadText(fields, "team");
  claim.key = ReadText(fields, "key");
  claim.route = ReadText(fields, "route");
  claim.body_hash = ReadText(fields, "body_hash");
  const auto holder = ParseOwner(ReadText(fields, "holder"));
  const auto send_window = ReadWindow(fields, "send_window_ms");
  const auto answer_window = ReadWindow(fields, "answer_window_ms");
  if (auto status = CheckFields(fields); !status.ok()) return status;
  if (!holder) return MalformedRecord("holder is not a valid owner");
  if (claim.key.empty()) return MalformedRecord("key is empty");
  if (!send_window.ok()) return send_window.status();
  if (!answer_window.ok()) return answer_window.status();
  claim.holder = *holder;
  claim.send_window = *send_window;
  claim.answer_window = *answer_window;
  return claims_record(claim);
}

absl::StatusOr<claims_record> DecodeOutcome(json_reader& fields) {
  outcome_record record;
  claim_outcome& outcome = record.outcome;
  record.claim_id = ReadText(fields, "claim_id");
  outcome.http_status = ReadInt(fields, "http_status");
  outcome.content_type = ReadText(fields, "content_type");
  outcome.body_kept = ReadBool(fields, "body_kept");
  outcome.body_hash = ReadText(fields, "body_hash");
  const QByteArray encoded = ToQByteArray(ReadText(fields, "body"));
  const QByteArray body = QByteArray::fromBase64(encoded);
  if (auto status = CheckFields(fields); !status.ok()) return status;
  if (body.toBase64() != encoded) return MalformedRecord("body is not Base64");
  outcome.body = body.toStdString();
  if (outcome.http_status < kMinHttpStatus ||
      outcome.http_status > kMaxHttpStatus) {
    return MalformedRecord("http_status is out of range");
  }
  return claims_record(record);
}

}  // namespace

int PartitionOf(absl::string_view team, absl::string_view key) {
  const uint64_t seed = XXH64(team.data(), team.size(), 0);
  return static_cast<int>(XXH64(key.data(), key.size(), seed) %
                          kClaimPartitions);
}

std::string ClaimsStreamName(int partition) {
  return absl::StrFormat("claims-%02d", partition);
}

claim_outcome LimitOutcomeBody(claim_outcome outcome) {
  outcome.body_hash = QCryptographicHash::hash(ToQByteArray(outcome.body),
                                               QCryptographicHash::Sha256)
                          .toHex()
                          .toStdString();
  if (outcome.body.size() > kMaxOutcomeBodyBytes) {
    outcome.body.clear();
    outcome.body_kept = false;
  }
  return outcome;
}

std::string RecordId(const claims_record& record) {
  if (const auto* claim = std::get_if<claim_record>(&record)) {
    return claim->claim_id;
  }
  if (const auto* outcome = std::get_if<outcome_record>(&record)) {
    return absl::StrCat(outcome->claim_id, "-outcome");
  }
  return absl::StrCat(std::get<release_record>(record).claim_id, "-released");
}

QJsonObject EncodeClaimsRecord(const claims_record& record) {
  if (const auto* claim = std::get_if<claim_record>(&record)) {
    return EncodeClaim(*claim);
  }
  if (const auto* outcome = std::get_if<outcome_record>(&record)) {
    return EncodeOutcome(*outcome);
  }
  return {
      {"type", "released"},
      {"claim_id", Utf8ToQString(std::get<release_record>(record).claim_id)}};
}

absl::StatusOr<claims_record> DecodeClaimsRecord(const QJsonObject& json) {
  json_reader fields{json, absl::OkStatus()};
  const std::string type = ReadText(fields, "type");
  const std::string claim_id = ReadText(fields, "claim_id");
  if (auto status = CheckFields(fields); !status.ok()) return status;
  if (!IsSafeId(claim_id)) return MalformedRecord("claim_id is not a valid id");
  if (type == "claim") return DecodeClaim(fields);
  if (type == "outcome") return DecodeOutcome(fields);
  if (type == "released") return claims_record(release_record{claim_id});
  return MalformedRecord("type is unknown");
}

}  // namespace anvilridge
