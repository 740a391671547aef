#ifndef ANVILRIDGE_CONFIG_CONFIG_STATE_H_
#define ANVILRIDGE_CONFIG_CONFIG_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace anvilridge {

/// What the upstreams of a pool do.
enum class pool_role { prefill, decode, service };

/// Which measure placement favours when it must choose.
enum class pool_objective { goodput, wasted_prefill };

/// What an operator's key may do.
enum class operator_role { none, read, operate, administer };

/// Fields that every configured object has.
struct object_head {
  std::string name;
  /// Log offset of the record that last changed the object; a command names
  /// the version it was written against.
  int64_t version = 0;
};

/// A group of upstreams that are interchangeable for placement.
struct pool_config : object_head {
  pool_role role = pool_role::service;
  /// Model served; empty for a service pool.
  std::string model;
};

/// One model engine or one plain service process.
struct upstream_config : object_head {
  std::string pool;
  /// `a.b.c.d:port`.
  std::string address;
  std::string failure_domain;
  /// Whether the upstream refuses orders with an old fencing number.
  bool checks_fencing = false;
  /// Concurrent streams (decode) or concurrent requests.
  int slots = 20;
  /// KV cache memory, in pieces.
  int pieces = 2000;
  /// Set by `drain`, cleared by `undrain`.
  bool draining = false;
};

/// How requests under a path reach upstreams.
struct route_config : object_head {
  /// Path prefix on the caller port, such as `/ledger/`; for completions the
  /// model's name selects the route instead.
  std::string path;
  /// Model served; empty for a service route.
  std::string model;
  std::string prefill_pool;
  std::string decode_pool;
  std::string service_pool;
  pool_objective objective = pool_objective::goodput;
  /// Target for the first token and between tokens.
  absl::Duration first_token_target = absl::Seconds(1);
  absl::Duration token_target = absl::Milliseconds(27);
  /// Methods that may be repeated on a service route.
  std::vector<std::string> repeatable_methods = {"GET", "HEAD"};
};

/// A hashed caller or operator key: only the SHA-256 is kept.
struct key_config : object_head {
  /// Team that the key belongs to; empty for an operator's key.
  std::string team;
  std::string sha256_hex;
  operator_role role = operator_role::none;
};

/// A team of callers that share limits.
struct team_config : object_head {
  /// Share of capacity relative to other teams when it is contended.
  double weight = 1;
  /// Requests per second over all daemons; zero for no limit.
  double rate = 0;
  /// Requests in progress over all daemons; zero for no limit.
  int concurrency = 0;
  /// Higher is served first; 0 to 9.
  int priority = 5;
};

/// The rate of the network between two failure domains.
struct link_config : object_head {
  std::string from_domain;
  std::string to_domain;
  /// KV cache pieces per second that transfers may use.
  double pieces_per_second = 0;
};

/// The whole configuration as of one log offset.
struct config_state {
  /// Offset after the last record applied; zero for none.
  int64_t applied_offset = 0;
  std::map<std::string, pool_config, std::less<>> pools;
  std::map<std::string, upstream_config, std::less<>> upstreams;
  std::map<std::string, route_config, std::less<>> routes;
  std::map<std::string, key_config, std::less<>> keys;
  std::map<std::string, team_config, std::less<>> teams;
  std::map<std::string, link_config, std::less<>> links;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_CONFIG_STATE_H_
