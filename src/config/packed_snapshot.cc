#include "config/packed_snapshot.h"

#include <QtEndian>

#include "base/error_kind.h"

namespace anvilridge {
namespace {

// Of the text: several times that of 5,000 engines and 1,000 teams.
constexpr quint32 kMaxTextBytes = 32 << 20;
// Fast, since the control thread waits for it.
constexpr int kCompressionLevel = 1;

// The size that `qCompress` wrote in front; 0 when there is none.
quint32 TextBytes(const QByteArray& packed) {
  if (packed.size() < static_cast<qsizetype>(sizeof(quint32))) return 0;
  return qFromBigEndian<quint32>(packed.constData());
}

}  // namespace

QByteArray PackSnapshotText(absl::string_view text) {
  return qCompress(reinterpret_cast<const uchar*>(text.data()),
                   static_cast<qsizetype>(text.size()), kCompressionLevel);
}

absl::StatusOr<std::string> UnpackSnapshotText(const QByteArray& packed) {
  const quint32 size = TextBytes(packed);
  if (size == 0 || size > kMaxTextBytes) {
    return MakeError(error_kind::config_invalid, "packed snapshot: size");
  }
  const QByteArray text = qUncompress(packed);
  if (text.isEmpty()) {
    return MakeError(error_kind::config_invalid, "packed snapshot: damaged");
  }
  return text.toStdString();
}

}  // namespace anvilridge
