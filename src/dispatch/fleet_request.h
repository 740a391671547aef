#ifndef ANVILRIDGE_DISPATCH_FLEET_REQUEST_H_
#define ANVILRIDGE_DISPATCH_FLEET_REQUEST_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "quarantine/prompt_part.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// One attempt of a caller, parsed from its request. Independent of the wire
/// format.
struct fleet_request {
  /// Unique for each attempt of a caller.
  std::string id;
  std::string method;
  std::string host;
  /// Path without the query.
  std::string path;
  /// Path and query, as sent to the upstream.
  std::string target;
  /// Name of the caller's team, which the upstream is told; empty for none.
  std::string team;
  /// Header fields that are sent to the upstream unchanged.
  http_headers headers;
  std::string body;
  /// Time at which the first byte of the request arrived, by the monotonic
  /// clock.
  absl::Time received;
  /// Time until which the caller waits for the response; infinite if the
  /// request doesn't state it.
  absl::Time deadline = absl::InfiniteFuture();
  /// Number of tokens in the prompt, and the largest number that may be
  /// generated; both 0 for requests that generate nothing.
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  /// The caller's estimate of the number of tokens generated; 0 if it gave
  /// none.
  int64_t output_estimate = 0;
  /// Id of the last event of the stream that the caller has received; empty if
  /// the request doesn't resume a stream.
  std::string resume_after;
  /// Parts of the prompt that other requests may share; empty if the request
  /// doesn't state any.
  prompt_parts shared_parts;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_FLEET_REQUEST_H_
