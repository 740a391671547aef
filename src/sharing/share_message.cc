#include "sharing/share_message.h"

#include <QDataStream>
#include <QIODevice>
#include <algorithm>

#include "base/error_kind.h"

namespace anvilridge {
namespace {

// First byte of a message: its form and version.
constexpr quint8 kForm = 0xA7;
// Most runs of one engine in a message; an engine has a few dozen slots.
constexpr size_t kMostRuns = 255;
// Most daemons that are introduced in a message.
constexpr size_t kMostIntroduced = 255;
// Most upstreams that a message tells to be unreachable.
constexpr size_t kMostUnreachable = 255;
// Most engines, so that a message fits into one datagram.
constexpr size_t kMostEngines = 400;

quint16 Units(double tokens) {
  return static_cast<quint16>(
      std::clamp(tokens / kShareTokenUnit, 0.0, 65535.0));
}

double Tokens(quint16 units) { return kShareTokenUnit * units; }

}  // namespace

QByteArray EncodeShare(const share_message& message) {
  QByteArray bytes;
  QDataStream stream(&bytes, QIODevice::WriteOnly);
  stream << kForm << static_cast<quint8>(message.kind)
         << static_cast<quint64>(message.incarnation) << message.sequence
         << message.leaving
         << static_cast<quint16>(std::clamp(message.share.waiting, 0, 65535))
         << static_cast<quint16>(std::clamp(message.share.late, 0, 65535));
  const size_t introduced =
      std::min(message.introduced.size(), kMostIntroduced);
  stream << static_cast<quint8>(introduced);
  for (size_t i = 0; i < introduced; ++i) {
    stream << message.introduced[i].ip << message.introduced[i].port;
  }
  stream << static_cast<quint8>(
      std::min(message.share.leavers.size(), kMostRuns));
  size_t leavers = 0;
  for (const auto& [key, leaver] : message.share.leavers) {
    if (leavers++ == kMostRuns) break;
    stream << key << static_cast<quint8>(leaver.stage)
           << static_cast<quint16>(std::clamp<int64_t>(
                  absl::ToInt64Milliseconds(leaver.left), 0, 65535));
  }
  const size_t unreachable =
      std::min(message.share.unreachable.size(), kMostUnreachable);
  stream << static_cast<quint8>(unreachable);
  for (size_t i = 0; i < unreachable; ++i) {
    stream << message.share.unreachable[i];
  }
  const size_t engines = std::min(message.share.engines.size(), kMostEngines);
  stream << static_cast<quint16>(engines);
  size_t written = 0;
  for (const auto& [key, engine] : message.share.engines) {
    if (written++ == engines) break;
    const size_t runs = std::min(engine.runs.size(), kMostRuns);
    stream << key << Units(engine.prefill_tokens) << static_cast<quint8>(runs);
    for (size_t i = 0; i < runs; ++i) {
      stream << Units(engine.runs[i].context)
             << Units(engine.runs[i].remaining);
    }
  }
  return bytes;
}

absl::StatusOr<share_message> DecodeShare(absl::string_view bytes,
                                          absl::Time now) {
  QDataStream stream(
      QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size())));
  quint8 form = 0;
  quint64 incarnation = 0;
  quint16 waiting = 0;
  quint16 late = 0;
  quint8 introduced = 0;
  quint8 leavers = 0;
  quint16 engines = 0;
  share_message message;
  quint8 kind = 0;
  stream >> form >> kind >> incarnation >> message.sequence >>
      message.leaving >> waiting >> late >> introduced;
  for (quint8 i = 0; i < introduced && stream.status() == QDataStream::Ok;
       ++i) {
    share_address address;
    stream >> address.ip >> address.port;
    message.introduced.push_back(address);
  }
  stream >> leavers;
  message.share.waiting = waiting;
  message.share.late = late;
  for (quint8 i = 0; i < leavers && stream.status() == QDataStream::Ok; ++i) {
    quint32 key = 0;
    quint8 stage = 0;
    quint16 left_ms = 0;
    stream >> key >> stage >> left_ms;
    message.share.leavers[key] = {
        stage == static_cast<quint8>(engine_stage::prefill)
            ? engine_stage::prefill
            : engine_stage::decode,
        absl::Milliseconds(left_ms)};
  }
  quint8 unreachable = 0;
  stream >> unreachable;
  for (quint8 i = 0; i < unreachable && stream.status() == QDataStream::Ok;
       ++i) {
    quint32 key = 0;
    stream >> key;
    message.share.unreachable.push_back(key);
  }
  stream >> engines;
  message.kind = static_cast<share_kind>(kind);
  message.incarnation = incarnation;
  for (quint16 i = 0; i < engines && stream.status() == QDataStream::Ok; ++i) {
    quint32 key = 0;
    quint16 prefill = 0;
    quint8 runs = 0;
    stream >> key >> prefill >> runs;
    engine_share engine;
    engine.prefill_tokens = Tokens(prefill);
    for (quint8 j = 0; j < runs; ++j) {
      quint16 context = 0;
      quint16 remaining = 0;
      stream >> context >> remaining;
      engine.runs.push_back({Tokens(context), Tokens(remaining), now});
    }
    message.share.engines[key] = std::move(engine);
  }
  if (form != kForm || kind > static_cast<quint8>(share_kind::introduction) ||
      stream.status() != QDataStream::Ok) {
    return MakeError(error_kind::malformed_request,
                     "not a message of another daemon");
  }
  return message;
}

}  // namespace anvilridge
