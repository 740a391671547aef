#include "membership/swim_message.h"

#include <QCborArray>
#include <QCborValue>
#include <QMessageAuthenticationCode>
#include <limits>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/ids.h"

namespace anvilridge {
namespace {

constexpr int kMacBytes = 32;
/// Upper bounds of the encoded sizes in CBOR.
constexpr size_t kNumberBytes = 9;
constexpr size_t kStringHeaderBytes = 2;
constexpr size_t kArrayHeaderBytes = 3;
/// Longest texts that are accepted.
constexpr size_t kMaxAddressBytes = 64;
constexpr size_t kMaxNameBytes = 64;
/// Numbers of elements in the encoded arrays.
constexpr qsizetype kUpdateFields = 9;
constexpr qsizetype kMessageFields = 6;

QByteArray ComputeMac(const QByteArray& body, absl::string_view key) {
  return QMessageAuthenticationCode::hash(
      body, QByteArray(key.data(), static_cast<qsizetype>(key.size())),
      QCryptographicHash::Sha256);
}

absl::string_view ToView(const QByteArray& bytes) {
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

absl::Status Malformed(absl::string_view problem) {
  return MakeError(error_kind::malformed_request,
                   absl::StrCat("malformed SWIM datagram: ", problem));
}

/// Reads the fields of a CBOR array in order and records the first invalid one.
class cbor_array_reader {
 public:
  cbor_array_reader(const QCborValue& value, qsizetype fields)
      : array_(value.toArray()) {
    if (array_.size() != fields) invalid_field_ = "wrong number of fields";
  }

  int64_t Number(const char* name, int64_t max) {
    const QCborValue value = Next();
    // A floating-point number would be truncated or be out of range.
    const int64_t number = value.isInteger() ? value.toInteger() : -1;
    CheckField(name, number >= 0 && number <= max);
    return number;
  }

  bool Flag(const char* name) {
    const QCborValue value = Next();
    CheckField(name, value.isBool());
    return value.toBool();
  }

  std::string String(const char* name, size_t max_bytes) {
    const QCborValue value = Next();
    std::string text = value.toString().toStdString();
    CheckField(name, value.isString() && text.size() <= max_bytes);
    return text;
  }

  QCborArray Array(const char* name) {
    const QCborValue value = Next();
    CheckField(name, value.isArray());
    return value.toArray();
  }

  QCborValue Value() { return Next(); }

  absl::Status Status() const {
    return invalid_field_.empty() ? absl::OkStatus()
                                  : Malformed(invalid_field_);
  }

 private:
  QCborValue Next() { return array_.at(next_++); }

  void CheckField(const char* name, bool is_valid) {
    if (!is_valid && invalid_field_.empty()) invalid_field_ = name;
  }

  const QCborArray array_;
  qsizetype next_ = 0;
  std::string invalid_field_;
};

absl::StatusOr<member_update> DecodeUpdate(const QCborValue& value) {
  cbor_array_reader reader(value, kUpdateFields);
  member_update update;
  update.id.daemon = reader.String("daemon", kMaxNameBytes);
  update.id.incarnation = static_cast<uint64_t>(
      reader.Number("incarnation", std::numeric_limits<int64_t>::max()));
  update.refutation = static_cast<uint32_t>(
      reader.Number("refutation", std::numeric_limits<uint32_t>::max()));
  update.state = static_cast<member_state>(
      reader.Number("state", static_cast<int64_t>(member_state::left)));
  update.leaving = reader.Flag("leaving");
  update.peer_address = reader.String("peer_address", kMaxAddressBytes);
  update.failure_domain = reader.String("failure_domain", kMaxNameBytes);
  update.config_offset =
      reader.Number("config_offset", std::numeric_limits<int64_t>::max());
  update.verdict_age = absl::Seconds(
      reader.Number("verdict_age", std::numeric_limits<uint32_t>::max()));
  if (!reader.Status().ok()) return reader.Status();
  if (!IsSafeId(update.id.daemon)) return Malformed("daemon");
  return update;
}

absl::StatusOr<swim_message> DecodeBody(const QCborValue& value) {
  cbor_array_reader reader(value, kMessageFields);
  swim_message message;
  message.kind = static_cast<swim_message_kind>(reader.Number(
      "kind", static_cast<int64_t>(swim_message_kind::sync_reply)));
  message.sequence = static_cast<uint64_t>(
      reader.Number("sequence", std::numeric_limits<int64_t>::max()));
  auto sender = DecodeUpdate(reader.Value());
  message.target_address = reader.String("target_address", kMaxAddressBytes);
  message.cursor = reader.String("cursor", kMaxNameBytes);
  const QCborArray updates = reader.Array("updates");
  if (!reader.Status().ok()) return reader.Status();
  if (!sender.ok()) return sender.status();
  message.sender = *std::move(sender);
  for (const auto& item : updates) {
    auto update = DecodeUpdate(item);
    if (!update.ok()) return update.status();
    message.updates.push_back(*std::move(update));
  }
  return message;
}

}  // namespace

size_t MaxUpdateBytes(const member_update& update) {
  // refutation 5 bytes, state 1, leaving 1 and verdict_age 5.
  constexpr size_t kSmallFieldBytes = 12;
  constexpr size_t kNumberFieldBytes = 2 * kNumberBytes + kSmallFieldBytes;
  return kArrayHeaderBytes + kNumberFieldBytes + 3 * kStringHeaderBytes +
         update.id.daemon.size() + update.peer_address.size() +
         update.failure_domain.size();
}

size_t MaxMessageBaseBytes(const swim_message& message) {
  return kMacBytes + 2 * kArrayHeaderBytes + 1 + kNumberBytes +
         2 * kStringHeaderBytes + MaxUpdateBytes(message.sender) +
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
  return ComputeMac(body, key) + body;
}

absl::StatusOr<swim_message> DecodeSwim(const QByteArray& datagram,
                                        absl::string_view key) {
  if (datagram.size() <= kMacBytes) return Malformed("no body after the MAC");
  const QByteArray body = datagram.mid(kMacBytes);
  if (!ConstantTimeEqual(ToView(datagram.left(kMacBytes)),
                         ToView(ComputeMac(body, key)))) {
    return Malformed("MAC does not match the peer key");
  }
  QCborParserError error;
  const QCborValue value = QCborValue::fromCbor(body, &error);
  if (error.error != QCborError::NoError) return Malformed("invalid CBOR");
  return DecodeBody(value);
}

}  // namespace anvilridge
