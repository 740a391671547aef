#include "sharing/load_message.h"

#include <QDataStream>
#include <QIODevice>
#include <algorithm>
#include <utility>

#include "base/error_kind.h"
#include "quarantine/evidence_codec.h"

namespace anvilridge {
namespace {

// First byte of a message; identifies its format and version.
constexpr quint8 kFormatVersion = 0xAB;
// Limit on the runs of one engine, and on the engines that leave a stage, in a
// message: each count is sent as one byte. An engine has a few dozen slots.
constexpr size_t kMaxRunsOrLeavers = 255;
// Limit on the addresses of live daemons in a message: their count is sent as
// one byte.
constexpr size_t kMaxLivePeers = 255;
// Limit on the unreachable upstreams in a message, and on the leaving ones:
// each count is sent as one byte.
constexpr size_t kMaxUpstreamKeys = 255;
// Limit on the engines in a message, so that it fits into one datagram.
constexpr size_t kMaxEngines = 400;
// Value in place of the rest of a stop, in milliseconds, of a daemon that isn't
// stopping.
constexpr quint16 kNotStopping = 65535;

quint16 ToStopMilliseconds(std::optional<absl::Duration> stop_left) {
  if (!stop_left) return kNotStopping;
  return static_cast<quint16>(std::clamp<int64_t>(
      absl::ToInt64Milliseconds(*stop_left), 0, kNotStopping - 1));
}

quint16 ToUnits(double tokens) {
  return static_cast<quint16>(
      std::clamp(tokens / kTokensPerUnit, 0.0, 65535.0));
}

double ToTokens(quint16 units) { return kTokensPerUnit * units; }

void WriteKeys(QDataStream& stream, const std::vector<uint32_t>& keys) {
  const size_t count = std::min(keys.size(), kMaxUpstreamKeys);
  stream << static_cast<quint8>(count);
  for (size_t i = 0; i < count; ++i) stream << keys[i];
}

std::vector<uint32_t> ReadKeys(QDataStream& stream) {
  std::vector<uint32_t> keys;
  quint8 count = 0;
  stream >> count;
  for (quint8 i = 0; i < count && stream.status() == QDataStream::Ok; ++i) {
    quint32 key = 0;
    stream >> key;
    keys.push_back(key);
  }
  return keys;
}

void WriteTeams(QDataStream& stream, const daemon_use& teams) {
  const size_t count = std::min(teams.size(), kMaxTeamsInUse);
  stream << static_cast<quint8>(count);
  size_t written = 0;
  for (const auto& [key, use] : teams) {
    if (written++ == count) break;
    stream << key << use.sent << use.held << use.rate;
  }
}

daemon_use ReadTeams(QDataStream& stream) {
  daemon_use teams;
  quint8 count = 0;
  stream >> count;
  for (quint8 i = 0; i < count && stream.status() == QDataStream::Ok; ++i) {
    quint32 key = 0;
    team_use use;
    stream >> key >> use.sent >> use.held >> use.rate;
    teams[key] = use;
  }
  return teams;
}

}  // namespace

QByteArray EncodeLoadMessage(const load_message& message, absl::Time now) {
  QByteArray bytes;
  QDataStream stream(&bytes, QIODevice::WriteOnly);
  stream << kFormatVersion << static_cast<quint8>(message.kind)
         << static_cast<quint64>(message.incarnation) << message.sequence
         << message.leaving
         << static_cast<quint16>(std::clamp(message.load.waiting, 0, 65535))
         << static_cast<quint16>(std::clamp(message.load.late, 0, 65535))
         << ToStopMilliseconds(message.load.stop_left);
  const size_t live_peers = std::min(message.live_peers.size(), kMaxLivePeers);
  stream << static_cast<quint8>(live_peers);
  for (size_t i = 0; i < live_peers; ++i) {
    stream << message.live_peers[i].ip << message.live_peers[i].port;
  }
  stream << static_cast<quint8>(
      std::min(message.load.stage_departures.size(), kMaxRunsOrLeavers));
  size_t stage_departures = 0;
  for (const auto& [key, leaver] : message.load.stage_departures) {
    if (stage_departures++ == kMaxRunsOrLeavers) break;
    stream << key << static_cast<quint8>(leaver.stage)
           << static_cast<quint16>(std::clamp<int64_t>(
                  absl::ToInt64Milliseconds(leaver.left), 0, 65535));
  }
  WriteKeys(stream, message.load.unreachable);
  WriteKeys(stream, message.load.leaving);
  const size_t engines = std::min(message.load.engines.size(), kMaxEngines);
  stream << static_cast<quint16>(engines);
  size_t written = 0;
  for (const auto& [key, engine] : message.load.engines) {
    if (written++ == engines) break;
    const size_t runs = std::min(engine.runs.size(), kMaxRunsOrLeavers);
    stream << key << ToUnits(engine.prefill_tokens)
           << static_cast<quint8>(runs);
    for (size_t i = 0; i < runs; ++i) {
      stream << ToUnits(engine.runs[i].context)
             << ToUnits(engine.runs[i].remaining);
    }
  }
  WriteTeams(stream, message.load.teams);
  WriteEvidence(stream, message.evidence, now);
  return bytes;
}

absl::StatusOr<load_message> DecodeLoadMessage(absl::string_view bytes,
                                               absl::Time now) {
  QDataStream stream(
      QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size())));
  quint8 format_version = 0;
  quint64 incarnation = 0;
  quint16 waiting = 0;
  quint16 late = 0;
  quint16 stop_left_ms = 0;
  quint8 live_peers = 0;
  quint8 stage_departures = 0;
  quint16 engines = 0;
  load_message message;
  quint8 kind = 0;
  stream >> format_version >> kind >> incarnation >> message.sequence >>
      message.leaving >> waiting >> late >> stop_left_ms >> live_peers;
  for (quint8 i = 0; i < live_peers && stream.status() == QDataStream::Ok;
       ++i) {
    daemon_address address;
    stream >> address.ip >> address.port;
    message.live_peers.push_back(address);
  }
  stream >> stage_departures;
  message.load.waiting = waiting;
  message.load.late = late;
  if (stop_left_ms != kNotStopping) {
    message.load.stop_left = absl::Milliseconds(stop_left_ms);
  }
  for (quint8 i = 0; i < stage_departures && stream.status() == QDataStream::Ok;
       ++i) {
    quint32 key = 0;
    quint8 stage = 0;
    quint16 left_ms = 0;
    stream >> key >> stage >> left_ms;
    message.load.stage_departures[key] = {
        stage == static_cast<quint8>(engine_stage::prefill)
            ? engine_stage::prefill
            : engine_stage::decode,
        absl::Milliseconds(left_ms)};
  }
  message.load.unreachable = ReadKeys(stream);
  message.load.leaving = ReadKeys(stream);
  stream >> engines;
  message.kind = static_cast<load_message_kind>(kind);
  message.incarnation = incarnation;
  for (quint16 i = 0; i < engines && stream.status() == QDataStream::Ok; ++i) {
    quint32 key = 0;
    quint16 prefill = 0;
    quint8 runs = 0;
    stream >> key >> prefill >> runs;
    engine_usage engine;
    engine.prefill_tokens = ToTokens(prefill);
    for (quint8 j = 0; j < runs; ++j) {
      quint16 context = 0;
      quint16 remaining = 0;
      stream >> context >> remaining;
      engine.runs.push_back({ToTokens(context), ToTokens(remaining), now});
    }
    message.load.engines[key] = std::move(engine);
  }
  message.load.teams = ReadTeams(stream);
  message.load.incarnation = incarnation;
  message.evidence = ReadEvidence(stream, now);
  if (format_version != kFormatVersion ||
      kind > static_cast<quint8>(load_message_kind::hello_reply) ||
      stream.status() != QDataStream::Ok) {
    return MakeError(
        error_kind::malformed_request,
        "the datagram is not a load message of the current version");
  }
  return message;
}

}  // namespace anvilridge
