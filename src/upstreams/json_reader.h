#ifndef ANVILRIDGE_UPSTREAMS_JSON_READER_H_
#define ANVILRIDGE_UPSTREAMS_JSON_READER_H_

#include <QByteArray>
#include <QJsonArray>
#include <QJsonObject>
#include <QString>
#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace anvilridge {

/// Largest number up to which JSON numbers are exact integers: 2^53.
inline constexpr double kMaxExactInteger = 9007199254740992.0;

/// Reads the fields of one JSON object that another process sent. The first
/// field that is missing or of the wrong type is kept in `status`, so that a
/// reader of many fields checks once, at the end.
struct json_reader {
  QJsonObject object;
  absl::Status status;
};

/// Parses `text`, which must be one JSON object; `upstream_failed` if not.
absl::StatusOr<json_reader> ParseJson(absl::string_view text);

/// Each returns the field, or a default after noting the error.
/// Integers must be whole and not negative.
int64_t ReadInteger(json_reader& reader, const char* name);
/// As above, and within the range of `int`.
int ReadInt(json_reader& reader, const char* name);
bool ReadBool(json_reader& reader, const char* name);
std::string ReadText(json_reader& reader, const char* name);
QJsonArray ReadArray(json_reader& reader, const char* name);
QJsonObject ReadObject(json_reader& reader, const char* name);

/// Returns the first problem noted, naming the field; "" for none.
absl::string_view ProblemOf(const json_reader& reader);

/// Makes a reader of an element of an array; notes an error in it if `value`
/// is no object.
json_reader ReaderOf(const QJsonValue& value);

/// Converts text between the string types.
QString ToQString(absl::string_view text);

/// Returns the compact JSON text of `object`.
std::string JsonText(const QJsonObject& object);

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_JSON_READER_H_
