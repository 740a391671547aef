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

constexpr std::array<const char*, 18> kNames = {
    "engine",  "owner",  "id",       "pieces",   "needed",    "use",
    "wait",    "tokens", "time",     "finished", "granted",   "slots",
    "free_in", "work",   "releases", "to",       "link_full", "team"};

QLatin1String NameOf(home_field field) {
  return QLatin1String(kNames.at(static_cast<size_t>(field)));
}

}  // namespace

key_form FormOf(const QCborMap& message) {
  const bool named = message.contains(NameOf(home_field::engine));
  return named ? key_form::names : key_form::numbers;
}

field_writer& field_writer::Put(home_field field, const QCborValue& value) {
  if (form_ == key_form::names) {
    map_[NameOf(field)] = value;
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
  // Decoding skips what is no digit, so only an id that comes back is packed.
  const bool packs = form_ == key_form::numbers && bytes.toHex() == text;
  if (packs) return Put(home_field::id, QCborValue(bytes));
  return Put(home_field::id, id);
}

QCborValue field_reader::Value(home_field field) const {
  const QCborValue value = map_.value(static_cast<qint64>(field));
  return value.isUndefined() ? map_.value(NameOf(field)) : value;
}

std::string field_reader::Text(home_field field) {
  const QCborValue value = Value(field);
  if (!value.isString() || value.toString().isEmpty()) Fail(field);
  return value.toString().toStdString();
}

std::string field_reader::Id() {
  const QCborValue value = Value(home_field::id);
  if (!value.isByteArray()) return Text(home_field::id);
  if (value.toByteArray().isEmpty()) Fail(home_field::id);
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
  if (!value.isBool()) Fail(field);
  return value.toBool();
}

bool field_reader::Has(home_field field) const {
  return !Value(field).isUndefined();
}

int64_t field_reader::Integer(home_field field, int64_t most) {
  const QCborValue value = Value(field);
  // A floating-point number would be cut, or be out of the type's range.
  const int64_t number = value.isInteger() ? value.toInteger() : -1;
  if (number < 0 || number > most) Fail(field);
  return number;
}

void field_reader::Fail(home_field field) {
  if (wrong_.empty()) wrong_ = NameOf(field).latin1();
}

absl::Status field_reader::Error() const {
  return MakeError(error_kind::malformed_request,
                   absl::StrCat("peer message: field ", wrong_));
}

}  // namespace anvilridge
