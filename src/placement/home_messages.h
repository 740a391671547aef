#ifndef ANVILRIDGE_PLACEMENT_HOME_MESSAGES_H_
#define ANVILRIDGE_PLACEMENT_HOME_MESSAGES_H_

#include <QCborMap>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/types/span.h"
#include "placement/decode_ledger.h"
#include "placement/home_fields.h"
#include "placement/prefill_ledger.h"

namespace anvilridge {

// Peer methods that an engine's home serves.
inline constexpr char kReserveDecodeMethod[] = "placement/ask-decode";
inline constexpr char kReservePrefillMethod[] = "placement/ask-prefill";
inline constexpr char kReleaseMethod[] = "placement/release";

/// Request for a decode place at `engine`.
struct reserve_decode_message {
  std::string engine;
  reserve_decode_request request;
};

/// Request for a place in the prefill queue of `engine`.
struct reserve_prefill_message {
  std::string engine;
  reserve_prefill_request request;
};

/// Releases the reservations of a request at `engine` and reports the measured
/// prefill time.
struct release_message {
  std::string engine;
  std::string request_id;
  /// Prompt tokens prefilled and the duration of the prefill; both zero if
  /// there is nothing to report.
  int prefill_tokens = 0;
  absl::Duration prefill_time;
  /// Whether the response to the request is complete.
  bool finished = false;
};

/// Returns the message as a CBOR map with keys in the encoding `form`.
QCborMap ToCbor(const reserve_decode_message& message, key_form form);
QCborMap ToCbor(const reserve_prefill_message& message, key_form form);
QCborMap ToCbor(const release_message& message, key_form form);
QCborMap ToCbor(const reserve_decode_reply& reply, key_form form);
QCborMap ToCbor(const reserve_prefill_reply& reply, key_form form);

/// Attaches `releases` to a message with numeric keys for the same daemon,
/// so that they need no messages of their own.
void AttachReleases(absl::Span<const release_message> releases,
                    QCborMap& message);

/// Returns the releases attached to `map`, none if its sender attached none.
/// `malformed_request` if one of them is invalid or there are too many.
absl::StatusOr<std::vector<release_message>> ParseAttachedReleases(
    const QCborMap& map);

// Parsers of the messages. Each returns `malformed_request` if a field is
// missing or out of range.
absl::StatusOr<reserve_decode_message> ParseReserveDecode(const QCborMap& map);
absl::StatusOr<reserve_prefill_message> ParseReservePrefill(
    const QCborMap& map);
absl::StatusOr<release_message> ParseRelease(const QCborMap& map);
absl::StatusOr<reserve_decode_reply> ParseReserveDecodeReply(
    const QCborMap& map);
absl::StatusOr<reserve_prefill_reply> ParseReservePrefillReply(
    const QCborMap& map);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_HOME_MESSAGES_H_
