#ifndef ANVILRIDGE_MEMBERSHIP_SWIM_MESSAGE_H_
#define ANVILRIDGE_MEMBERSHIP_SWIM_MESSAGE_H_

#include <QByteArray>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "membership/member_table.h"

namespace anvilridge {

enum class swim_kind {
  ping,
  ack,
  /// Asks the receiver to ping `target_address` and to pass the ack on.
  ping_request,
  /// Asks for the members whose names follow `cursor`.
  sync_request,
  /// `cursor` is where to go on, empty at the end.
  sync_reply,
};

/// One datagram between daemons.
struct swim_message {
  swim_kind kind = swim_kind::ping;
  uint64_t sequence = 0;
  member_update sender;
  std::string target_address;
  std::string cursor;
  std::vector<member_update> updates;
};

/// Largest datagram, below what every path carries unfragmented.
inline constexpr size_t kMaxDatagramBytes = 1200;

/// Returns an upper bound of what `update` adds to a datagram, in bytes.
size_t UpdateBytes(const member_update& update);

/// Returns an upper bound of a datagram without updates, in bytes.
size_t MessageBaseBytes(const swim_message& message);

/// Encodes as CBOR with an HMAC-SHA256 of it in front.
QByteArray EncodeSwim(const swim_message& message, absl::string_view key);

/// Decodes; `malformed_request`, naming what is wrong, when it is malformed or
/// not made with `key`. A datagram that was recorded and sent again is
/// harmless: updates only ever grow, and an ack counts only for the probe in
/// progress.
absl::StatusOr<swim_message> DecodeSwim(const QByteArray& datagram,
                                        absl::string_view key);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_SWIM_MESSAGE_H_
