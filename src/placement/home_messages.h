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
inline constexpr char kAskDecodeMethod[] = "placement/ask-decode";
inline constexpr char kAskPrefillMethod[] = "placement/ask-prefill";
inline constexpr char kReleaseMethod[] = "placement/release";

/// An ask together with the engine that it is for.
struct decode_ask_message {
  std::string engine;
  decode_ask ask;
};

struct prefill_ask_message {
  std::string engine;
  prefill_ask ask;
};

/// Frees what a request holds in an engine's ledger, and says what was learned.
struct release_message {
  std::string engine;
  std::string request_id;
  /// Prompt tokens prefilled and the time it took; zero teaches nothing.
  int prefill_tokens = 0;
  absl::Duration prefill_time;
  /// Whether the request's answer is whole.
  bool finished = false;
};

QCborMap ToCbor(const decode_ask_message& message, key_form form);
QCborMap ToCbor(const prefill_ask_message& message, key_form form);
QCborMap ToCbor(const release_message& message, key_form form);
QCborMap ToCbor(const decode_answer& answer, key_form form);
QCborMap ToCbor(const prefill_answer& answer, key_form form);

/// Puts `releases` into a message with numbers as keys that goes to the same
/// daemon anyway.
void Carry(absl::Span<const release_message> releases, QCborMap& message);

/// Returns the releases that `map` carries; none of a daemon that carries none.
absl::StatusOr<std::vector<release_message>> ParseCarried(const QCborMap& map);

// Each returns `malformed_request` when a field is missing or out of range.
absl::StatusOr<decode_ask_message> ParseDecodeAsk(const QCborMap& map);
absl::StatusOr<prefill_ask_message> ParsePrefillAsk(const QCborMap& map);
absl::StatusOr<release_message> ParseRelease(const QCborMap& map);
absl::StatusOr<decode_answer> ParseDecodeAnswer(const QCborMap& map);
absl::StatusOr<prefill_answer> ParsePrefillAnswer(const QCborMap& map);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_HOME_MESSAGES_H_
