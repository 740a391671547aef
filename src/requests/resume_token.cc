#include "requests/resume_token.h"

#include <QCryptographicHash>
#include <QMessageAuthenticationCode>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/error_kind.h"
#include "base/ids.h"

namespace anvilridge {
namespace {

// Hexadecimal digits of the signature that are kept.
constexpr int kSignatureDigits = 32;

QByteArray Bytes(absl::string_view text) {
  return QByteArray(text.data(), static_cast<int>(text.size()));
}

std::string Signature(const resume_token& token, absl::string_view team,
                      absl::string_view key) {
  const std::string signed_text =
      absl::StrCat(team, "\n", token.request_id, "\n", token.engine);
  const QByteArray mac = QMessageAuthenticationCode::hash(
      Bytes(signed_text), Bytes(key), QCryptographicHash::Sha256);
  return mac.toHex().left(kSignatureDigits).toStdString();
}

}  // namespace

std::string FormatResumeToken(const resume_token& token, absl::string_view team,
                              absl::string_view key) {
  return absl::StrCat(token.request_id, ":", token.engine, ":", token.index,
                      ":", Signature(token, team, key));
}

absl::StatusOr<resume_token> ParseResumeToken(absl::string_view text,
                                              absl::string_view team,
                                              absl::string_view key) {
  const std::vector<std::string> parts = absl::StrSplit(text, ':');
  resume_token token;
  if (parts.size() != 4 || !IsSafeId(parts[0]) || !IsSafeId(parts[1]) ||
      !absl::SimpleAtoi(parts[2], &token.index) || token.index < 0) {
    return MakeError(error_kind::malformed_request,
                     "Last-Event-ID is not an id that was sent");
  }
  token.request_id = parts[0];
  token.engine = parts[1];
  if (!ConstantTimeEqual(parts[3], Signature(token, team, key))) {
    return MakeError(error_kind::forbidden,
                     "Last-Event-ID belongs to another team's stream");
  }
  return token;
}

}  // namespace anvilridge
