#ifndef ANVILRIDGE_SHARING_SHARE_MESSAGE_H_
#define ANVILRIDGE_SHARING_SHARE_MESSAGE_H_

#include <QByteArray>
#include <cstdint>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "dispatch/engine_ledger.h"

namespace anvilridge {

/// Where a daemon shares.
struct share_address {
  uint32_t ip = 0;
  uint16_t port = 0;

  bool operator==(const share_address&) const = default;
};

enum class share_kind : uint8_t {
  /// To daemons of the own cell: what the sender has under way.
  share,
  /// To one of another cell: asks to be introduced to daemons of the own.
  hello,
  /// Answers a hello.
  introduction,
};

/// What one daemon tells another.
struct share_message {
  share_kind kind = share_kind::share;
  /// Differs for each start of the sender.
  uint64_t incarnation = 0;
  /// Grows with each message of one incarnation.
  uint32_t sequence = 0;
  /// Whether the sender is stopping and counts no more.
  bool leaving = false;
  /// Some other daemons that the sender has heard of late: the store's group
  /// names only those that hold a partition.
  std::vector<share_address> introduced;
  load_share share;
};

/// Tokens are sent in units of this many, which bounds a message's size.
inline constexpr double kShareTokenUnit = 8;

/// Returns the bytes of `message`; what exceeds a datagram is left out.
QByteArray EncodeShare(const share_message& message);

/// @param now the time of arrival, taken as that of the runs.
/// @return `malformed_request` when the bytes are no message of this form.
absl::StatusOr<share_message> DecodeShare(absl::string_view bytes,
                                          absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_SHARING_SHARE_MESSAGE_H_
