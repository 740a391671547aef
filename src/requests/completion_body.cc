#include "requests/completion_body.h"

#include <xxhash.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

constexpr int kMostOutputTokens = 8192;
constexpr int kCharactersPerToken = 4;
constexpr size_t kPrefixBlockCharacters = 256;

absl::Status Wrong(absl::string_view member, absl::string_view allowed) {
  return MakeError(error_kind::malformed_request,
                   absl::StrCat("member \"", member, "\" must be ", allowed));
}

}  // namespace

absl::StatusOr<completion_body> ParseCompletionBody(absl::string_view json) {
  QJsonParseError error;
  const QJsonDocument document = QJsonDocument::fromJson(
      QByteArray::fromRawData(json.data(), static_cast<int>(json.size())),
      &error);
  if (!document.isObject()) {
    return MakeError(error_kind::malformed_request,
                     absl::StrCat("the body must be a JSON object: ",
                                  error.errorString().toStdString(),
                                  " at byte ", error.offset));
  }
  const QJsonObject object = document.object();
  completion_body body;
  const QJsonValue model = object["model"];
  if (!model.isString() || model.toString().isEmpty()) {
    return Wrong("model", "a non-empty string");
  }
  body.model = model.toString().toStdString();
  const QJsonValue prompt = object["prompt"];
  if (!prompt.isString() || prompt.toString().isEmpty()) {
    return Wrong("prompt", "a non-empty string");
  }
  body.prompt = prompt.toString().toStdString();
  const QJsonValue max_tokens = object["max_tokens"];
  if (!max_tokens.isUndefined()) {
    const double count = max_tokens.toDouble(-1);
    if (count < 1 || count > kMostOutputTokens || count != int(count)) {
      return Wrong("max_tokens", absl::StrCat("a whole number from 1 to ",
                                              kMostOutputTokens));
    }
    body.max_tokens = static_cast<int>(count);
  }
  const QJsonValue stream = object["stream"];
  if (!stream.isUndefined() && !stream.isBool()) {
    return Wrong("stream", "true or false");
  }
  body.stream = stream.toBool(false);
  return body;
}

int EstimateTokens(absl::string_view prompt) {
  const size_t tokens =
      (prompt.size() + kCharactersPerToken - 1) / kCharactersPerToken;
  return static_cast<int>(tokens);
}

std::vector<uint64_t> PromptPrefixHashes(absl::string_view prompt) {
  std::vector<uint64_t> hashes;
  const size_t blocks =
      std::min(prompt.size() / kPrefixBlockCharacters, kMaxPrefixHashes);
  for (size_t block = 1; block <= blocks; ++block) {
    hashes.push_back(
        XXH64(prompt.data(), block * kPrefixBlockCharacters, /*seed=*/0));
  }
  return hashes;
}

}  // namespace anvilridge
