#include "upstreams/json_reader.h"

#include <QJsonDocument>
#include <cmath>
#include <limits>

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

constexpr absl::string_view kMalformed = "malformed answer: ";

QJsonValue Find(const json_reader& reader, const char* name) {
  return reader.object.value(QLatin1String(name));
}

void Note(json_reader& reader, absl::string_view problem) {
  if (!reader.status.ok()) return;
  reader.status =
      MakeError(error_kind::upstream_failed, absl::StrCat(kMalformed, problem));
}

}  // namespace

absl::StatusOr<json_reader> ParseJson(absl::string_view text) {
  const QByteArray bytes =
      QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size()));
  QJsonParseError error;
  const QJsonDocument document = QJsonDocument::fromJson(bytes, &error);
  if (error.error != QJsonParseError::NoError || !document.isObject()) {
    return MakeError(error_kind::upstream_failed,
                     absl::StrCat(kMalformed, "no JSON object"));
  }
  return json_reader{document.object(), absl::OkStatus()};
}

int64_t ReadInteger(json_reader& reader, const char* name) {
  const QJsonValue value = Find(reader, name);
  const double number = value.toDouble(-1);
  const bool whole =
      number >= 0 && number <= kMaxExactInteger && number == std::floor(number);
  if (whole) return value.toInteger();
  Note(reader, absl::StrCat(name, " is no whole number"));
  return 0;
}

int ReadInt(json_reader& reader, const char* name) {
  const int64_t value = ReadInteger(reader, name);
  if (value <= std::numeric_limits<int>::max()) return static_cast<int>(value);
  Note(reader, absl::StrCat(name, " is too large"));
  return 0;
}

bool ReadBool(json_reader& reader, const char* name) {
  const QJsonValue value = Find(reader, name);
  if (!value.isBool()) Note(reader, absl::StrCat(name, " is no boolean"));
  return value.toBool();
}

std::string ReadText(json_reader& reader, const char* name) {
  const QJsonValue value = Find(reader, name);
  if (!value.isString()) Note(reader, absl::StrCat(name, " is no text"));
  return value.toString().toStdString();
}

QJsonArray ReadArray(json_reader& reader, const char* name) {
  const QJsonValue value = Find(reader, name);
  if (!value.isArray()) Note(reader, absl::StrCat(name, " is no array"));
  return value.toArray();
}

QJsonObject ReadObject(json_reader& reader, const char* name) {
  const QJsonValue value = Find(reader, name);
  if (!value.isObject()) Note(reader, absl::StrCat(name, " is no object"));
  return value.toObject();
}

absl::string_view ProblemOf(const json_reader& reader) {
  return absl::StripPrefix(reader.status.message(), kMalformed);
}

json_reader ReaderOf(const QJsonValue& value) {
  json_reader reader{value.toObject(), absl::OkStatus()};
  if (!value.isObject()) Note(reader, "an element is no object");
  return reader;
}

QString ToQString(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::string JsonText(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

}  // namespace anvilridge
