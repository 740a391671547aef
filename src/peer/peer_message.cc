#include "peer/peer_message.h"

#include <QCborValue>
#include <algorithm>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/run_state.h"
#include "peer/cbor_fields.h"

namespace anvilridge {
namespace {

// Longer text would push others out of the compression's table.
constexpr size_t kMaxRepeatedBytes = 256;

bool FitsHeader(absl::string_view text) {
  const auto fits = [](unsigned char c) { return absl::ascii_isgraph(c); };
  return !text.empty() && text.size() <= kMaxRepeatedBytes &&
         std::all_of(text.begin(), text.end(), fits);
}

run_state RunStateNamed(absl::string_view name) {
  for (const run_state state : {run_state::not_run, run_state::ran}) {
    if (RunStateName(state) == name) return state;
  }
  return run_state::unknown;
}

peer_answer EncodeError(const absl::Status& error) {
  const error_answer& row = AnswerFor(KindOf(error));
  const absl::string_view message(error.message().data(),
                                  error.message().size());
  const QCborMap fields = {
      {QStringLiteral("kind"), CborText(row.name)},
      {QStringLiteral("ran"), CborText(RunStateName(RunStateOf(error)))},
      {QStringLiteral("retry_ms"),
       static_cast<qint64>(absl::ToInt64Milliseconds(RetryAfterOf(error)))},
      {QStringLiteral("message"), CborText(message)}};
  return {row.http_status, fields.toCborValue().toCbor()};
}

absl::Status Undecodable(int http_status) {
  return MakeError(
      error_kind::upstream_failed,
      absl::StrCat("the peer answered ", http_status, " without a reason"));
}

absl::Status DecodeError(const peer_answer& answer) {
  if (answer.http_status == kPeerStatusForbidden && answer.body.isEmpty()) {
    return MakeError(error_kind::forbidden, "the peer refused the key");
  }
  const absl::StatusOr<QCborMap> fields = DecodePeerBody(answer.body);
  if (!fields.ok()) return Undecodable(answer.http_status);
  const auto name = GetString(*fields, "kind");
  const auto ran = GetString(*fields, "ran");
  const auto retry_ms = GetInt(*fields, "retry_ms");
  const auto message = GetString(*fields, "message");
  if (!name.ok() || !ran.ok() || !retry_ms.ok() || !message.ok()) {
    return Undecodable(answer.http_status);
  }
  const auto kind = ErrorKindNamed(*name);
  if (!kind) return Undecodable(answer.http_status);
  return MakeError(*kind, *message, RunStateNamed(*ran),
                   absl::Milliseconds(*retry_ms));
}

}  // namespace

peer_request EncodePeerRequest(absl::string_view method, const QCborMap& call) {
  peer_request request;
  request.method = std::string(method);
  QCborMap body = call;
  for (int key = 0; key < kRepeatedKeys; ++key) {
    const QCborValue value = body.value(qint64{key});
    const std::string text = value.toString().toStdString();
    if (!value.isString() || !FitsHeader(text)) continue;
    request.repeated[key] = text;
    body.remove(qint64{key});
  }
  request.body = body.toCborValue().toCbor();
  return request;
}

absl::StatusOr<QCborMap> DecodePeerRequest(const peer_request& request) {
  absl::StatusOr<QCborMap> call = DecodePeerBody(request.body);
  if (!call.ok()) return call;
  for (int key = 0; key < kRepeatedKeys; ++key) {
    const std::string& text = request.repeated[key];
    if (!text.empty()) (*call)[qint64{key}] = CborText(text);
  }
  return call;
}

absl::StatusOr<QCborMap> DecodePeerBody(const QByteArray& body) {
  QCborParserError error;
  const QCborValue value = QCborValue::fromCbor(body, &error);
  const bool whole =
      error.error == QCborError::NoError && error.offset == body.size();
  if (!whole || !value.isMap()) {
    return MakeError(error_kind::malformed_request, "the body is no CBOR map");
  }
  return value.toMap();
}

peer_answer EncodePeerAnswer(const absl::StatusOr<QCborMap>& answer) {
  if (!answer.ok()) return EncodeError(answer.status());
  QByteArray body = answer->toCborValue().toCbor();
  if (body.size() > kMaxPeerBodyBytes) {
    return EncodeError(MakeError(error_kind::body_too_large,
                                 "the answer is too long", run_state::ran));
  }
  return {kPeerStatusOk, std::move(body)};
}

absl::StatusOr<QCborMap> DecodePeerAnswer(const peer_answer& answer) {
  if (answer.http_status != kPeerStatusOk) return DecodeError(answer);
  absl::StatusOr<QCborMap> body = DecodePeerBody(answer.body);
  if (body.ok()) return body;
  return Undecodable(answer.http_status);
}

}  // namespace anvilridge
