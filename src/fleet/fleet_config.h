#ifndef ANVILRIDGE_FLEET_FLEET_CONFIG_H_
#define ANVILRIDGE_FLEET_FLEET_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "fleet/fleet_team.h"

namespace anvilridge {

/// How often the upstreams may run a request of a route.
enum class run_rule {
  /// Any number of times.
  repeatable,
  /// Once for each attempt of its caller.
  at_most_once,
};

/// Service of a route and its relative share of the route's requests.
struct weighted_service {
  std::string service;
  /// Share relative to the weights of the other services; 0 or less for none.
  int weight = 1;
};

/// Services for the requests of one host and path prefix, and the limits and
/// latency targets of these requests.
struct fleet_route {
  std::string name;
  std::string host;
  /// Path prefix of the requests; begins and ends with a slash.
  std::string path_prefix;
  run_rule rule = run_rule::at_most_once;
  /// Whether the response is a stream of events.
  bool streams = false;
  /// Whether another engine may resume a broken stream after its last event.
  bool resumable = false;
  /// Longest time until the response is complete.
  absl::Duration timeout = absl::Seconds(30);
  /// Time to the response, or to the first event of a stream, that callers
  /// expect.
  absl::Duration latency_target = absl::Seconds(1);
  /// Longest time between two events that callers expect; zero for no target.
  absl::Duration gap_target;
  /// Priority of the requests; 0 is the most urgent.
  int priority = 5;
  /// Largest number of upstreams to which one attempt of a caller may be sent.
  int attempts = 1;
  /// Whether callers need no key, in a configuration with teams.
  bool is_public = false;
  std::vector<weighted_service> services;
};

/// Capacity and timing of the engines of a service.
struct engine_traits {
  /// Requests for which one engine generates at the same time.
  int slots = 0;
  /// KV cache of one engine, in tokens.
  int64_t kv_tokens = 0;
  int64_t kv_bytes_per_token = 0;
  /// Link capacity of one engine, in Mbit/s.
  double link_mbps = 0;
  /// Time for which an engine keeps a finished prefill for the decode engine.
  absl::Duration handle_ttl;
  /// Time for which an engine is unavailable while it changes its stage.
  absl::Duration stage_switch;
  /// Tokens in one event of a stream.
  int tokens_per_event = 1;
};

/// Service whose instances are upstreams of this fleet.
struct fleet_service {
  std::string name;
  /// Connections that one upstream accepts from all callers together.
  int max_connections = 0;
  /// Whether the upstreams are model engines. `engine` is set only if true.
  bool generates = false;
  engine_traits engine;
};

/// Limits on callers. Those that are absent are left to each daemon's settings.
struct caller_limits {
  /// Largest request line and header fields together.
  std::optional<int64_t> max_header_bytes;
  std::optional<int64_t> max_body_bytes;
  /// From the first byte of a request to the end of its header fields.
  std::optional<absl::Duration> header_timeout;
  /// How long a connection may stay open without a request.
  std::optional<absl::Duration> idle_timeout;
  /// Limits whose values can't be used, with these, for the log.
  std::vector<std::string> unusable;

  bool operator==(const caller_limits&) const = default;
};

/// One version of the configuration.
struct fleet_config {
  int64_t version = 0;
  std::vector<fleet_route> routes;
  std::map<std::string, fleet_service, std::less<>> services;
  caller_limits limits;
  team_directory teams;
};

/// Returns the route of `host` with the longest path prefix that matches
/// `path`, or null if there is none. `host` may include a port, which is
/// ignored.
const fleet_route* FindRoute(const fleet_config& config, absl::string_view host,
                             absl::string_view path);

/// Returns the team of the caller of a request on `route`; null if its requests
/// count for none.
/// @return `missing_credential` or `unknown_credential` if the route needs a
///     key and `credential` has none of a team.
absl::StatusOr<const fleet_team*> IdentifyTeam(
    const fleet_config& config, const fleet_route& route,
    const caller_credential& credential);

/// Picks a service of `route` at random, by weight.
/// @param random random number from 0 (inclusive) to 1 (exclusive).
/// @return null if all weights are 0 or `config` lacks the picked service.
const fleet_service* PickService(const fleet_config& config,
                                 const fleet_route& route, double random);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_FLEET_CONFIG_H_
