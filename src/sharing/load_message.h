#ifndef ANVILRIDGE_SHARING_LOAD_MESSAGE_H_
#define ANVILRIDGE_SHARING_LOAD_MESSAGE_H_

#include <QByteArray>
#include <cstdint>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "dispatch/engine_ledger.h"
#include "quarantine/crash_evidence.h"

namespace anvilridge {

/// UDP address at which a daemon receives load messages.
struct daemon_address {
  uint32_t ip = 0;
  uint16_t port = 0;

  bool operator==(const daemon_address&) const = default;
};

/// Purpose of a load message.
enum class load_message_kind : uint8_t {
  /// Reports the sender's load to the daemons of its cell.
  load,
  /// Requests, from a daemon of another cell, the addresses of live daemons of
  /// the sender's cell.
  hello,
  /// Replies to a hello with addresses of live daemons of the receiver's cell.
  hello_reply,
};

/// Datagram by which a daemon reports its load to another daemon, or finds
/// other daemons.
struct load_message {
  load_message_kind kind = load_message_kind::load;
  /// Random number that identifies one run of the sender's process.
  uint64_t incarnation = 0;
  /// Number of the sender's load messages of this incarnation so far, this one
  /// included; lets the receiver drop repeated and reordered ones.
  uint32_t sequence = 0;
  /// Whether the sender is stopping and should no longer be counted.
  bool leaving = false;
  /// Some of the daemons from which the sender has recently received messages.
  /// The receiver can't find them all in the store's group, which lists only
  /// daemons that hold a partition.
  std::vector<daemon_address> live_peers;
  /// Load of the sender; empty in a hello and in its reply. When `leaving`, all
  /// but `stop_left` is empty.
  daemon_load load;
  /// What the sender knows of prompts that crash engines; empty in messages
  /// that leave it out.
  staged_evidence evidence;
};

/// Tokens in one unit of a token count on the wire. Counting in units lets a
/// count fit 16 bits, which bounds the size of a message.
inline constexpr double kTokensPerUnit = 8;

/// Returns the bytes of `message`. Entries beyond the maximum counts are
/// omitted, so that the message fits into one datagram.
/// @param now time of sending; times are sent as ages.
QByteArray EncodeLoadMessage(const load_message& message, absl::Time now);

/// Parses the bytes of a message.
/// @param now time of arrival, stored as the time of each run, and from which
///     ages are subtracted.
/// @return the message, or `malformed_request` if the bytes are not a message
/// of the current version.
absl::StatusOr<load_message> DecodeLoadMessage(absl::string_view bytes,
                                               absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_SHARING_LOAD_MESSAGE_H_
