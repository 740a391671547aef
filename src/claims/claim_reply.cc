#include "claims/claim_reply.h"

#include <QCborValue>
#include <algorithm>
#include <string>
#include <utility>

#include "base/error_kind.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kMinRetryAfter = absl::Seconds(1);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(5);

QString Utf8ToQString(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::optional<run_state> ParseRunState(absl::string_view name) {
  for (run_state state :
       {run_state::not_run, run_state::ran, run_state::unknown}) {
    if (RunStateName(state) == name) return state;
  }
  return std::nullopt;
}

absl::Status DecodeError(const QCborMap& map) {
  const std::string kind_name =
      map[QLatin1String("kind")].toString().toStdString();
  const auto kind = ErrorKindNamed(kind_name);
  const auto ran =
      ParseRunState(map[QLatin1String("ran")].toString().toStdString());
  if (!kind || !ran) {
    return MakeError(error_kind::upstream_failed,
                     "malformed claim reply: unknown error kind or run state");
  }
  return MakeError(
      *kind, map[QLatin1String("detail")].toString().toStdString(), *ran,
      absl::Milliseconds(map[QLatin1String("retry_ms")].toInteger()));
}

}  // namespace

claim_reply MakeRefusal(absl::Status status) {
  claim_reply reply;
  reply.status = std::move(status);
  return reply;
}

claim_reply MakeHeldKeyRefusal(const claim_decision& decision) {
  switch (decision.verdict) {
    case claim_verdict::conflict:
      return MakeRefusal(
          MakeError(error_kind::key_conflict,
                    "the key was used before with another route or body"));
    case claim_verdict::outcome_unknown:
      return MakeRefusal(
          MakeError(error_kind::outcome_unknown,
                    "an earlier call with the key ended without an outcome"));
    default:
      return MakeRefusal(MakeError(
          error_kind::key_in_progress,
          "another call with the key is in progress", run_state::unknown,
          std::clamp(decision.remaining, kMinRetryAfter, kMaxRetryAfter)));
  }
}

QCborMap EncodeReply(const claim_reply& reply) {
  QCborMap map;
  map[QLatin1String("ok")] = reply.status.ok();
  map[QLatin1String("may_linger")] = reply.needs_release;
  map[QLatin1String("fencing")] = static_cast<qint64>(reply.fencing_number);
  if (!reply.status.ok()) {
    map[QLatin1String("kind")] =
        Utf8ToQString(AnswerFor(KindOf(reply.status)).name);
    map[QLatin1String("ran")] =
        Utf8ToQString(RunStateName(RunStateOf(reply.status)));
    map[QLatin1String("detail")] = Utf8ToQString(reply.status.message());
    map[QLatin1String("retry_ms")] = static_cast<qint64>(
        absl::ToInt64Milliseconds(RetryAfterOf(reply.status)));
  }
  if (reply.outcome) {
    const outcome_record record{"earlier", *reply.outcome};
    map[QLatin1String("outcome")] =
        QCborMap::fromJsonObject(EncodeClaimsRecord(record));
  }
  return map;
}

claim_reply DecodeReply(const QCborMap& map) {
  claim_reply reply;
  reply.needs_release = map[QLatin1String("may_linger")].toBool();
  if (!map[QLatin1String("ok")].toBool()) {
    reply.status = DecodeError(map);
    return reply;
  }
  reply.fencing_number = map[QLatin1String("fencing")].toInteger();
  if (map.contains(QLatin1String("outcome"))) {
    const auto record = DecodeClaimsRecord(
        map[QLatin1String("outcome")].toMap().toJsonObject());
    const bool is_outcome =
        record.ok() && std::holds_alternative<outcome_record>(*record);
    if (is_outcome) reply.outcome = std::get<outcome_record>(*record).outcome;
  }
  if (!reply.outcome && reply.fencing_number <= 0) {
    reply.status = MakeError(
        error_kind::upstream_failed,
        "malformed claim reply: neither an outcome nor a fencing number");
  }
  return reply;
}

QCborMap EncodePeerRecord(const claims_record& record, int partition) {
  QCborMap map;
  map[QLatin1String("partition")] = partition;
  map[QLatin1String("record")] =
      QCborMap::fromJsonObject(EncodeClaimsRecord(record));
  return map;
}

std::optional<peer_record> DecodePeerRecord(const QCborMap& map) {
  const int64_t partition = map[QLatin1String("partition")].toInteger(-1);
  if (partition < 0 || partition >= kClaimPartitions) return std::nullopt;
  const auto record =
      DecodeClaimsRecord(map[QLatin1String("record")].toMap().toJsonObject());
  if (!record.ok()) return std::nullopt;
  return peer_record{static_cast<int>(partition), *record};
}

}  // namespace anvilridge
