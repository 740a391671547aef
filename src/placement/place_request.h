#ifndef ANVILRIDGE_PLACEMENT_PLACE_REQUEST_H_
#define ANVILRIDGE_PLACEMENT_PLACE_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace anvilridge {

/// What placement needs to know of a completion.
struct place_request {
  std::string request_id;
  std::string team;
  /// Name of the route in the configuration.
  std::string route;
  int prompt_tokens = 0;
  int max_tokens = 0;
  int priority = 5;
  /// Hashes of the prompt's first 256, 512, … characters.
  std::vector<uint64_t> prefix_hashes;
  /// When the first token is due, by the monotonic clock.
  absl::Time first_token_due;
  /// Engines that failed this request before.
  std::vector<std::string> avoid;
};

/// An engine that was chosen.
struct placed_engine {
  std::string name;
  std::string address;
  std::string failure_domain;
};

/// A decode place and a prefill engine for one request.
struct place_grant {
  std::string request_id;
  /// Owner text that engines keep with the request.
  std::string owner;
  placed_engine prefill;
  placed_engine decode;
  /// Decode engines to try next, in turn, when `decode` has no room; only of
  /// policies that promise no place.
  std::vector<placed_engine> decode_fallbacks;
  /// Pieces promised at the decode engine.
  int pieces = 0;
  /// Predicted time until the first token.
  absl::Duration predicted_first_token;
};

/// How a placed request ended, for the homes and for the engines' health.
struct place_outcome {
  std::string request_id;
  placed_engine prefill;
  placed_engine decode;
  /// Whether the prefill ran to its end, and how long it took.
  bool prefilled = false;
  int prefill_tokens = 0;
  absl::Duration prefill_time;
  /// Whether the decode stream began and ended well.
  bool decode_started = false;
  bool decode_finished = false;
  bool prefill_failed = false;
  bool decode_failed = false;
  /// Whether what failed made no progress within its bound.
  bool stalled = false;
  /// Whether it was the transfer between the engines that stalled.
  bool transfer_stalled = false;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_PLACE_REQUEST_H_
