#ifndef ANVILRIDGE_DISPATCH_FLEET_REQUEST_H_
#define ANVILRIDGE_DISPATCH_FLEET_REQUEST_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// One attempt of a caller, as read from its request; names no protocol.
struct fleet_request {
  /// Differs for each attempt of a caller.
  std::string id;
  std::string method;
  std::string host;
  /// Without the query.
  std::string path;
  /// Path and query, as they go to the upstream.
  std::string target;
  /// Fields that go to the upstream unchanged.
  http_headers headers;
  std::string body;
  /// When its first byte arrived, by the monotonic clock.
  absl::Time received;
  /// When its caller gives up; infinite when it did not say.
  absl::Time deadline = absl::InfiniteFuture();
  /// Tokens of the prompt and the most that may be generated; 0 for requests
  /// that generate nothing.
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  /// The caller's estimate of the tokens generated; 0 for none.
  int64_t output_estimate = 0;
  /// Id of the last event that the caller has of this stream; empty for none.
  std::string resume_after;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_FLEET_REQUEST_H_
