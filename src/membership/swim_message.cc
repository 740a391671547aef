#include "membership/swim_message.h"

#include <QCborArray>
#include <QCborValue>
#include <QMessageAuthenticationCode>
#include <limits>

#include "base/ids.h"

namespace anvilridge {
namespace {

constexpr int kMacBytes = 32;
constexpr size_t kNumberBytes = 9;
constexpr size_t kStringHeadBytes = 2;
constexpr size_t kArrayHeadBytes = 3;
constexpr size_t kMaxAddressBytes = 64;
constexpr size_t kMaxNameBytes = 64;
constexpr qsizetype kUpdateFields = 9;
constexpr qsizetype kMessageFields = 6;

QByteArray Mac(const QByteArray& body, absl::string_view key) {
  return QMessageAuthenticationCode::hash(
      body, QByteArray(key.data(), static_cast<qsizetype>(key.size())),
      QCryptographicHash::Sha256);
}

absl::string_view View(const QByteArray& bytes) {
  return {bytes.constData(), static_cast<size_t>(bytes.size())};
}

QCborValue Text(const std::string& text) {
  return QCborValue(QString::fromStdString(text));
}

QCborArray EncodeUpdate(const member_update& update) {
  return QCborArray{
      Text(update.id.daemon),
      static_cast<qint64>(update.id.incarnation),
      static_cast<qint64>(update.refutation),
      static_cast<qint64>(update.state),
      update.leaving,
      Text(update.peer_address),
      Text(update.failure_domain),
      static_cast<qint64>(update.config_offset),
      static_cast<qint64>(absl::ToInt64Seconds(update.verdict_age))};
}

/// Reads the fields of an array in turn and remembers whether all fitted.
class array_reader {
 public:
  array_reader(const QCborArray& array, qsizetype fields)
      : array_(array), good_(array.size() == fields) {}

  int64_t Number(int64_t max) {
    const QCborValue value = Next();
    const int64_t number = value.toInteger(-1);
    good_ = good_ && number >= 0 && number <= max;
    return number;
  }

  bool Flag() {
    const QCborValue value = Next();
    good_ = good_ && value.isBool();
    return value.toBool();
  }

  std::string String(size_t max_bytes) {
    std::string text = Next().toString().toStdString();
    good_ = good_ && text.size() <= max_bytes;
    return text;
  }

  QCborArray Array() { return Next().toArray(); }

  bool Good() const { return good_; }

 private:
  QCborValue Next() { return array_.at(next_++); }

  const QCborArray array_;
  qsizetype next_ = 0;
  bool good_;
};

std::optional<member_update> DecodeUpdate(const QCborArray& array) {
  array_reader reader(array, kUpdateFields);
  member_update update;
  update.id.daemon = reader.String(kMaxNameBytes);
  update.id.incarnation =
      static_cast<uint64_t>(reader.Number(std::numeric_limits<int64_t>::max()));
  update.refutation = static_cast<uint32_t>(
      reader.Number(std::numeric_limits<uint32_t>::max()));
  update.state = static_cast<member_state>(
      reader.Number(static_cast<int64_t>(member_state::left)));
  update.leaving = reader.Flag();
  update.peer_address = reader.String(kMaxAddressBytes);
  update.failure_domain = reader.String(kMaxNameBytes);
  update.config_offset = reader.Number(std::numeric_limits<int64_t>::max());
  update.verdict_age =
      absl::Seconds(reader.Number(std::numeric_limits<uint32_t>::max()));
  if (!reader.Good() || !IsSafeId(update.id.daemon)) return std::nullopt;
  return update;
}

std::optional<swim_message> DecodeBody(const QCborArray& array) {
  array_reader reader(array, kMessageFields);
  swim_message message;
  message.kind = static_cast<swim_kind>(
      reader.Number(static_cast<int64_t>(swim_kind::sync_reply)));
  message.sequence =
      static_cast<uint64_t>(reader.Number(std::numeric_limits<int64_t>::max()));
  const auto sender = DecodeUpdate(reader.Array());
  message.target_address = reader.String(kMaxAddressBytes);
  message.cursor = reader.String(kMaxNameBytes);
  for (const auto& item : reader.Array()) {
    const auto update = DecodeUpdate(item.toArray());
    if (!update) return std::nullopt;
    message.updates.push_back(*update);
  }
  if (!reader.Good() || !sender) return std::nullopt;
  message.sender = *sender;
  return message;
}

}  // namespace

size_t UpdateBytes(const member_update& update) {
  constexpr size_t kOtherNumbers = 12;
  constexpr size_t kNumbers = 2 * kNumberBytes + kOtherNumbers;
  return kArrayHeadBytes + kNumbers + 3 * kStringHeadBytes +
         update.id.daemon.size() + update.peer_address.size() +
         update.failure_domain.size();
}

size_t MessageBaseBytes(const swim_message& message) {
  return kMacBytes + 2 * kArrayHeadBytes + 1 + kNumberBytes +
         2 * kStringHeadBytes + UpdateBytes(message.sender) +
         message.target_address.size() + message.cursor.size();
}

QByteArray EncodeSwim(const swim_message& message, absl::string_view key) {
  QCborArray updates;
  for (const member_update& update : message.updates) {
    updates.append(EncodeUpdate(update));
  }
  const QCborArray array{static_cast<qint64>(message.kind),
                         static_cast<qint64>(message.sequence),
                         EncodeUpdate(message.sender),
                         Text(message.target_address),
                         Text(message.cursor),
                         updates};
  const QByteArray body = QCborValue(array).toCbor();
  return Mac(body, key) + body;
}

std::optional<swim_message> DecodeSwim(const QByteArray& datagram,
                                       absl::string_view key) {
  if (datagram.size() <= kMacBytes) return std::nullopt;
  const QByteArray body = datagram.mid(kMacBytes);
  if (!ConstantTimeEqual(View(datagram.left(kMacBytes)),
                         View(Mac(body, key)))) {
    return std::nullopt;
  }
  QCborParserError error;
  const QCborValue value = QCborValue::fromCbor(body, &error);
  if (error.error != QCborError::NoError) return std::nullopt;
  return DecodeBody(value.toArray());
}

}  // namespace anvilridge
