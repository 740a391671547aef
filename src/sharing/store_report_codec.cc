#include "sharing/store_report_codec.h"

#include <QDataStream>
#include <QIODevice>
#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

// First byte of a report; differs from that of a load message.
constexpr quint8 kFormatVersion = 0xB2;
// Value in place of an age that is infinite or too long to be written.
constexpr quint32 kLongAge = std::numeric_limits<quint32>::max();
// Largest size of the records once they are expanded. Bounds what a forged
// report can take; compressed records of this size would be far beyond
// `kMaxReportedBytes`.
constexpr quint32 kMaxExpandedBytes = 256 << 10;
// Bytes before compressed data that hold its expanded size.
constexpr int kSizePrefixBytes = 4;

quint32 ToMilliseconds(absl::Duration age) {
  const int64_t milliseconds = absl::ToInt64Milliseconds(age);
  return milliseconds >= kLongAge
             ? kLongAge
             : static_cast<quint32>(std::max<int64_t>(milliseconds, 0));
}

absl::Duration FromMilliseconds(quint32 milliseconds) {
  return milliseconds == kLongAge ? absl::InfiniteDuration()
                                  : absl::Milliseconds(milliseconds);
}

QByteArray CompressedRecords(const std::vector<keyed_record>& records) {
  if (records.empty()) return {};
  QByteArray bytes;
  QDataStream stream(&bytes, QIODevice::WriteOnly);
  for (const keyed_record& record : records) {
    stream << QByteArray::fromStdString(record.key) << record.value.has_value()
           << QByteArray::fromStdString(record.value.value_or(""))
           << static_cast<qint64>(record.offset);
  }
  if (bytes.size() > static_cast<qsizetype>(kMaxExpandedBytes)) return {};
  const QByteArray compressed = qCompress(bytes);
  return compressed.size() > kMaxReportedBytes ? QByteArray() : compressed;
}

// Expands `compressed`. Returns false if it is not what `CompressedRecords`
// returns.
bool ExpandRecords(const QByteArray& compressed,
                   std::vector<keyed_record>& records) {
  if (compressed.isEmpty()) return true;
  quint32 size = 0;
  QDataStream(compressed) >> size;
  if (compressed.size() < kSizePrefixBytes || size > kMaxExpandedBytes) {
    return false;
  }
  QDataStream stream(qUncompress(compressed));
  while (!stream.atEnd()) {
    QByteArray key;
    bool has_value = false;
    QByteArray value;
    qint64 offset = 0;
    stream >> key >> has_value >> value >> offset;
    if (stream.status() != QDataStream::Ok) return false;
    keyed_record& record = records.emplace_back();
    record.key = key.toStdString();
    if (has_value) record.value = value.toStdString();
    record.offset = offset;
  }
  return !records.empty();
}

void WriteTopic(QDataStream& stream, const topic_report& report) {
  stream << static_cast<qint64>(report.next) << static_cast<qint64>(report.from)
         << static_cast<qint64>(report.era) << ToMilliseconds(report.reply_age)
         << report.store_lost << ToMilliseconds(report.outage_age)
         << CompressedRecords(report.records);
}

bool ReadTopic(QDataStream& stream, topic_report& report) {
  qint64 next = 0;
  qint64 from = 0;
  qint64 era = 0;
  quint32 reply_age = 0;
  quint32 outage_age = 0;
  QByteArray records;
  stream >> next >> from >> era >> reply_age >> report.store_lost >>
      outage_age >> records;
  report.next = next;
  report.from = from;
  report.era = static_cast<store_era>(era);
  report.reply_age = FromMilliseconds(reply_age);
  report.outage_age = FromMilliseconds(outage_age);
  return stream.status() == QDataStream::Ok &&
         ExpandRecords(records, report.records);
}

}  // namespace

QByteArray EncodeStoreReport(const store_report& report) {
  QByteArray bytes;
  QDataStream stream(&bytes, QIODevice::WriteOnly);
  stream << kFormatVersion;
  WriteTopic(stream, report.config);
  WriteTopic(stream, report.upstreams);
  return bytes;
}

bool IsStoreReport(absl::string_view bytes) {
  return !bytes.empty() && static_cast<quint8>(bytes.front()) == kFormatVersion;
}

absl::StatusOr<store_report> DecodeStoreReport(absl::string_view bytes) {
  QDataStream stream(
      QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size())));
  quint8 format_version = 0;
  stream >> format_version;
  store_report report;
  if (format_version != kFormatVersion || !ReadTopic(stream, report.config) ||
      !ReadTopic(stream, report.upstreams)) {
    return MakeError(error_kind::malformed_request,
                     absl::StrCat("a store report of version ", kFormatVersion,
                                  " was expected, found ", bytes.size(),
                                  " bytes that begin with ", format_version));
  }
  return report;
}

}  // namespace anvilridge
