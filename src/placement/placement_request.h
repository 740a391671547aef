#ifndef ANVILRIDGE_PLACEMENT_PLACEMENT_REQUEST_H_
#define ANVILRIDGE_PLACEMENT_PLACEMENT_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace anvilridge {

/// Properties of a completion by which `placer` chooses its engines.
struct placement_request {
  std::string request_id;
  std::string team;
  /// Name of the route in the configuration.
  std::string route;
  int prompt_tokens = 0;
  int max_tokens = 0;
  int priority = 5;
  /// Hashes of the prompt's first 256, 512, … characters, shortest prefix
  /// first.
  std::vector<uint64_t> prefix_hashes;
  /// Time by which the first token is due, on the monotonic clock.
  absl::Time first_token_due;
  /// Names of the engines that failed this request before. They are chosen only
  /// if no other engine is available.
  std::vector<std::string> avoid;
};

/// An engine that was chosen for a request.
struct chosen_engine {
  std::string name;
  std::string address;
  std::string failure_domain;
};

/// The engines chosen for one request: a decode engine with a place, and a
/// prefill engine.
struct placement_grant {
  std::string request_id;
  /// Text (`daemon:incarnation`) by which the engines record the request's
  /// owner.
  std::string owner;
  chosen_engine prefill;
  chosen_engine decode;
  /// Decode engines to try, in this order, if `decode` has no capacity. Empty
  /// for `placement_policy::homes`, which reserves the place in advance.
  std::vector<chosen_engine> decode_fallbacks;
  /// Pieces of KV cache reserved at the decode engine; zero for policies that
  /// reserve no place.
  int pieces = 0;
  /// Predicted time until the first token.
  absl::Duration predicted_first_token;
};

/// How a placed request ended: input for the homes, which release its place,
/// and for the health of the engines.
struct placement_outcome {
  std::string request_id;
  chosen_engine prefill;
  chosen_engine decode;
  /// Whether the prefill ran to its end.
  bool prefilled = false;
  /// Prompt tokens that were prefilled, without those from the prefix cache.
  int prefill_tokens = 0;
  /// Time that the prefill took.
  absl::Duration prefill_time;
  bool decode_started = false;
  /// Whether the decode stream ended normally.
  bool decode_finished = false;
  bool prefill_failed = false;
  bool decode_failed = false;
  /// Whether the failed prefill, transfer or decode made no progress within its
  /// time limit.
  bool stalled = false;
  /// Whether the transfer between the two engines stalled.
  bool transfer_stalled = false;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_PLACEMENT_REQUEST_H_
