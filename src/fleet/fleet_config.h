#ifndef ANVILRIDGE_FLEET_FLEET_CONFIG_H_
#define ANVILRIDGE_FLEET_FLEET_CONFIG_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// How often a request of a route may be run.
enum class run_rule {
  /// Any number of times.
  repeatable,
  /// Once for each attempt of its caller.
  at_most_once,
};

/// One service that a route leads to, with its share of the requests.
struct weighted_service {
  std::string service;
  int weight = 1;
};

/// Where the requests of one host and path prefix go, and what they may cost.
struct fleet_route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  run_rule rule = run_rule::at_most_once;
  /// Whether the answer is a stream of events.
  bool streams = false;
  /// Whether a stream may go on at another engine behind the last event.
  bool resumable = false;
  /// Longest time until the final answer.
  absl::Duration timeout = absl::Seconds(30);
  /// Time to the answer, or to the first event, that callers expect.
  absl::Duration latency_target = absl::Seconds(1);
  /// Longest pause between events that callers expect; zero for none.
  absl::Duration gap_target;
  /// 0 is the most urgent.
  int priority = 5;
  /// Most upstreams that one attempt may be sent to.
  int attempts = 1;
  std::vector<weighted_service> services;
};

/// What the engines of a service can do; unset for plain services.
struct engine_traits {
  /// Requests generated at once.
  int slots = 0;
  int64_t kv_tokens = 0;
  int64_t kv_bytes_per_token = 0;
  double link_mbps = 0;
  /// How long a finished prefill is kept for its decode engine.
  absl::Duration handle_ttl;
  /// How long an engine is away while it changes its stage.
  absl::Duration stage_switch;
  /// Tokens in one event of a stream.
  int tokens_per_event = 1;
};

struct fleet_service {
  std::string name;
  /// Connections that one upstream accepts from all callers together.
  int max_connections = 0;
  /// Whether its upstreams are engines; `engine` holds only then.
  bool generates = false;
  engine_traits engine;
};

/// One version of the configuration.
struct fleet_config {
  int64_t version = 0;
  std::vector<fleet_route> routes;
  std::map<std::string, fleet_service, std::less<>> services;
};

/// Returns the route of `host` with the longest prefix of `path`; null when
/// there is none. `host` may carry a port.
const fleet_route* FindRoute(const fleet_config& config, absl::string_view host,
                             absl::string_view path);

/// Picks a service of `route` by weight; `random` is from 0 up to 1. Null when
/// the route names no service that `config` has.
const fleet_service* PickService(const fleet_config& config,
                                 const fleet_route& route, double random);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_FLEET_CONFIG_H_
