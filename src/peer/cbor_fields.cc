#include "peer/cbor_fields.h"

#include <QString>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

QString FieldName(absl::string_view name) {
  return QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size()));
}

absl::Status WrongField(absl::string_view name, absl::string_view wanted) {
  return MakeError(error_kind::malformed_request,
                   absl::StrCat("field ", name, " is missing or no ", wanted));
}

}  // namespace

absl::StatusOr<std::string> GetString(const QCborMap& map,
                                      absl::string_view name) {
  const QCborValue value = map.value(FieldName(name));
  if (!value.isString()) return WrongField(name, "text");
  return value.toString().toStdString();
}

absl::StatusOr<int64_t> GetInt(const QCborMap& map, absl::string_view name) {
  const QCborValue value = map.value(FieldName(name));
  if (!value.isInteger()) return WrongField(name, "integer");
  return value.toInteger();
}

absl::StatusOr<double> GetDouble(const QCborMap& map, absl::string_view name) {
  const QCborValue value = map.value(FieldName(name));
  if (!value.isDouble() && !value.isInteger()) {
    return WrongField(name, "number");
  }
  return value.toDouble();
}

absl::StatusOr<bool> GetBool(const QCborMap& map, absl::string_view name) {
  const QCborValue value = map.value(FieldName(name));
  if (!value.isBool()) return WrongField(name, "boolean");
  return value.toBool();
}

absl::StatusOr<QCborArray> GetArray(const QCborMap& map,
                                    absl::string_view name) {
  const QCborValue value = map.value(FieldName(name));
  if (!value.isArray()) return WrongField(name, "array");
  return value.toArray();
}

absl::StatusOr<QCborMap> GetMap(const QCborMap& map, absl::string_view name) {
  const QCborValue value = map.value(FieldName(name));
  if (!value.isMap()) return WrongField(name, "map");
  return value.toMap();
}

QCborValue CborText(absl::string_view text) { return FieldName(text); }

}  // namespace anvilridge
