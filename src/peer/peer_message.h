#ifndef ANVILRIDGE_PEER_PEER_MESSAGE_H_
#define ANVILRIDGE_PEER_PEER_MESSAGE_H_

#include <QByteArray>
#include <QCborMap>
#include <array>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace anvilridge {

/// Bodies of calls and answers are at most this long.
constexpr qsizetype kMaxPeerBodyBytes = 1 << 20;
constexpr int kPeerStatusOk = 200;
constexpr int kPeerStatusForbidden = 403;

/// An answer as it goes over the wire.
struct peer_answer {
  int http_status = kPeerStatusOk;
  QByteArray body;
};

/// Text under the integer keys below this goes as a header field of its own,
/// which the connection's header compression sends once: for values that repeat
/// from call to call, as the caller's name does.
constexpr int kRepeatedKeys = 4;

/// A call as it goes over the wire.
struct peer_request {
  std::string method;
  std::array<std::string, kRepeatedKeys> repeated;
  QByteArray body;
};

/// Encodes a call; text that a header field can't hold stays in the body.
peer_request EncodePeerRequest(absl::string_view method, const QCborMap& call);

/// Decodes the fields of a call; `malformed_request` if the body is no map.
absl::StatusOr<QCborMap> DecodePeerRequest(const peer_request& request);

/// Encodes what a handler answered; an answer that is too long becomes an
/// error.
peer_answer EncodePeerAnswer(const absl::StatusOr<QCborMap>& answer);

/// Decodes what `EncodePeerAnswer` made: the map, or the same error. What can't
/// be decoded is `upstream_failed`.
absl::StatusOr<QCborMap> DecodePeerAnswer(const peer_answer& answer);

/// Decodes a body that must be one CBOR map and nothing else;
/// `malformed_request` if not.
absl::StatusOr<QCborMap> DecodePeerBody(const QByteArray& body);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PEER_PEER_MESSAGE_H_
