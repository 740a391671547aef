#include "placement/home_fields.h"

#include <QByteArray>
#include <QString>
#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

constexpr int kMaxTokens = 10'000'000;
constexpr int64_t kMaxMicroseconds = 3'600'000'000;

// Names of the fields on the wire, indexed by `home_field`.
constexpr std::array<const char*, 18> kFieldNames = {
    "engine",  "owner",  "id",       "pieces",   "needed",    "use",
    "wait",    "tokens", "time",     "finished", "granted",   "slots",
    "free_in", "work",   "releases", "to",       "link_full", "team"};

QLatin1String FieldName(home_field field) {
  return QLatin1String(kFieldNames.at(static_cast<size_t>(field)));
}

}  // namespace

key_form KeyFormOf(const QCborMap& message) {
  const bool named = message.contains(FieldName(home_field::engine));
  return named ? key_form::names : key_form::numbers;
}

field_writer& field_writer::Put(home_field field, const QCborValue& value) {
  if (form_ == key_form::names) {
    map_[FieldName(field)] = value;
  } else {
    map_[static_cast<qint64>(field)] = value;
  }
  return *this;
}

field_writer& field_writer::Put(home_field field, const std::string& text) {
  return Put(field, QCborValue(QString::fromStdString(text)));
}

field_writer& field_writer::Put(home_field field, absl::Duration time) {
  const int64_t count = absl::ToInt64Microseconds(time);
  const qint64 bounded =
      std::min(std::max<int64_t>(count, 0), kMaxMicroseconds);
  return Put(field, QCborValue(bounded));
}

field_writer& field_writer::PutId(const std::string& id) {
  const QByteArray text = QByteArray::fromStdString(id);
  const QByteArray bytes = QByteArray::fromHex(text);
  // `fromHex` skips characters that are no digits, so only an id that survives
  // the round trip is packed.
  const bool packs = form_ == key_form::numbers && bytes.toHex() == text;
  if (packs) return Put(home_field::id, QCborValue(bytes));
  return Put(home_field::id, id);
}

QCborValue field_reader::Value(home_field field) const {
  const QCborValue value = map_.value(static_cast<qint64>(field));
  return value.isUndefined() ? map_.value(FieldName(field)) : value;
}

std::string field_reader::Text(home_field field) {
  const QCborValue value = Value(field);
  if (!value.isString() || value.toString().isEmpty()) MarkInvalid(field);
  return value.toString().toStdString();
}

std::string field_reader::Id() {
  const QCborValue value = Value(home_field::id);
  if (!value.isByteArray()) return Text(home_field::id);
  if (value.toByteArray().isEmpty()) MarkInvalid(home_field::id);
  return value.toByteArray().toHex().toStdString();
}

int field_reader::Count(home_field field) {
  return static_cast<int>(Integer(field, kMaxTokens));
}

absl::Duration field_reader::Time(home_field field) {
  return absl::Microseconds(Integer(field, kMaxMicroseconds));
}

bool field_reader::Flag(home_field field) {
  const QCborValue value = Value(field);
  if (!value.isBool()) MarkInvalid(field);
  return value.toBool();
}

bool field_reader::Has(home_field field) const {
  return !Value(field).isUndefined();
}

int64_t field_reader::Integer(home_field field, int64_t max_value) {
  const QCborValue value = Value(field);
  // Rejects floating-point numbers, which `toInteger` would truncate or which
  // would be out of its range.
  const int64_t number = value.isInteger() ? value.toInteger() : -1;
  if (number < 0 || number > max_value) MarkInvalid(field);
  return number;
}

void field_reader::MarkInvalid(home_field field) {
  if (first_invalid_.empty()) first_invalid_ = FieldName(field).latin1();
}

absl::Status field_reader::InvalidFieldError() const {
  return MakeError(
      error_kind::malformed_request,
      absl::StrCat("peer message: missing or invalid field ", first_invalid_));
}

}  // namespace anvilridge
