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

/// Kind of a SWIM message; its number is sent in the datagram.
enum class swim_message_kind {
  ping,
  ack,
  /// Requests an indirect ping: the receiver pings `target_address` and, when
  /// the target acknowledges, sends an ack to the sender.
  ping_request,
  /// Requests the members whose names sort after `cursor`.
  sync_request,
  /// Carries a part of the member table. `cursor` is the name of the last
  /// member in it, or empty at the end of the table.
  sync_reply,
};

/// One datagram between daemons.
struct swim_message {
  swim_message_kind kind = swim_message_kind::ping;
  /// Chosen by the sender of a ping or request; repeated in its ack or reply.
  uint64_t sequence = 0;
  member_update sender;
  /// Only in a `ping_request`.
  std::string target_address;
  /// Only in a `sync_request` and a `sync_reply`.
  std::string cursor;
  std::vector<member_update> updates;
};

/// Largest datagram, in bytes; small enough to pass every path unfragmented.
inline constexpr size_t kMaxDatagramBytes = 1200;

/// Returns an upper bound of the encoded size of `update`, in bytes.
size_t MaxUpdateBytes(const member_update& update);

/// Returns an upper bound of the size of the datagram of `message` without its
/// updates, in bytes.
size_t MaxMessageBaseBytes(const swim_message& message);

/// Encodes `message` as CBOR, preceded by its HMAC-SHA256 with `key`.
QByteArray EncodeSwim(const swim_message& message, absl::string_view key);

/// Decodes a datagram of `EncodeSwim`. Returns `malformed_request` with the
/// cause if it is malformed or its MAC does not match `key`. A replayed
/// datagram is harmless: a merge never goes back to an overridden update, and
/// an ack counts only for a ping in progress.
absl::StatusOr<swim_message> DecodeSwim(const QByteArray& datagram,
                                        absl::string_view key);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_SWIM_MESSAGE_H_
