#include "claims/claim_record.h"

#include <xxhash.h>

#include <QCryptographicHash>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace anvilridge {
namespace {

QString Text(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

QByteArray Bytes(absl::string_view text) {
  return {text.data(), static_cast<qsizetype>(text.size())};
}

std::string String(const QJsonObject& json, const char* name) {
  return json[QLatin1String(name)].toString().toStdString();
}

absl::Duration Millis(const QJsonObject& json, const char* name) {
  return absl::Milliseconds(json[QLatin1String(name)].toInteger());
}

QJsonObject EncodeClaim(const claim_record& claim) {
  return {
      {"type", "claim"},
      {"claim_id", Text(claim.claim_id)},
      {"team", Text(claim.team)},
      {"key", Text(claim.key)},
      {"route", Text(claim.route)},
      {"body_hash", Text(claim.body_hash)},
      {"holder", Text(OwnerText(claim.holder))},
      {"send_window_ms",
       static_cast<qint64>(absl::ToInt64Milliseconds(claim.send_window))},
      {"answer_window_ms",
       static_cast<qint64>(absl::ToInt64Milliseconds(claim.answer_window))}};
}

QJsonObject EncodeOutcome(const outcome_record& record) {
  const claim_outcome& outcome = record.outcome;
  return {{"type", "outcome"},
          {"claim_id", Text(record.claim_id)},
          {"http_status", outcome.http_status},
          {"content_type", Text(outcome.content_type)},
          {"body", QString::fromLatin1(Bytes(outcome.body).toBase64())},
          {"body_kept", outcome.body_kept},
          {"body_hash", Text(outcome.body_hash)}};
}

std::optional<claims_record> DecodeClaim(const QJsonObject& json) {
  const auto holder = ParseOwner(String(json, "holder"));
  if (!holder) return std::nullopt;
  claim_record claim;
  claim.claim_id = String(json, "claim_id");
  claim.team = String(json, "team");
  claim.key = String(json, "key");
  claim.route = String(json, "route");
  claim.body_hash = String(json, "body_hash");
  claim.holder = *holder;
  claim.send_window = Millis(json, "send_window_ms");
  claim.answer_window = Millis(json, "answer_window_ms");
  if (claim.key.empty()) return std::nullopt;
  return claim;
}

outcome_record DecodeOutcome(const QJsonObject& json) {
  outcome_record record;
  record.claim_id = String(json, "claim_id");
  record.outcome.http_status = json["http_status"].toInt();
  record.outcome.content_type = String(json, "content_type");
  record.outcome.body =
      QByteArray::fromBase64(json["body"].toString().toLatin1()).toStdString();
  record.outcome.body_kept = json["body_kept"].toBool();
  record.outcome.body_hash = String(json, "body_hash");
  return record;
}

}  // namespace

int PartitionOf(absl::string_view team, absl::string_view key) {
  const uint64_t seed = XXH64(team.data(), team.size(), 0);
  return static_cast<int>(XXH64(key.data(), key.size(), seed) %
                          kClaimPartitions);
}

std::string ClaimsStream(int partition) {
  return absl::StrFormat("claims-%02d", partition);
}

claim_outcome BoundOutcome(claim_outcome outcome) {
  outcome.body_hash =
      QCryptographicHash::hash(Bytes(outcome.body), QCryptographicHash::Sha256)
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
  return {{"type", "released"},
          {"claim_id", Text(std::get<release_record>(record).claim_id)}};
}

std::optional<claims_record> DecodeClaimsRecord(const QJsonObject& json) {
  const std::string type = String(json, "type");
  if (!IsSafeId(String(json, "claim_id"))) return std::nullopt;
  if (type == "claim") return DecodeClaim(json);
  if (type == "outcome") return DecodeOutcome(json);
  if (type == "released") return release_record{String(json, "claim_id")};
  return std::nullopt;
}

}  // namespace anvilridge
