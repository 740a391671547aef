#ifndef ANVILRIDGE_CONFIG_CONFIG_STATE_H_
#define ANVILRIDGE_CONFIG_CONFIG_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "config/config_command.h"

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

/// What an order makes of an engine.
enum class order_kind { load, unload, role };

/// The latest order given to an engine for one model and adapter, or for its
/// role. Orders stay in the configuration, so that each daemon may repeat them
/// until the engine shows their effect.
struct upstream_order {
  order_kind kind = order_kind::load;
  std::string model;
  std::string model_version;
  std::string adapter;
  /// Role ordered; for `order_kind::role`.
  pool_role role = pool_role::service;
  /// Log offset of the command: later orders carry higher numbers.
  int64_t fence = 0;

  friend bool operator==(const upstream_order&,
                         const upstream_order&) = default;
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
  /// Latest orders, oldest first; at most `kMaxOrdersPerUpstream`.
  std::vector<upstream_order> orders;
};

inline constexpr size_t kMaxOrdersPerUpstream = 64;

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

/// An operator's order to cancel a request wherever it runs.
struct request_cancel {
  std::string request_id;
  /// Log offset of the command.
  int64_t offset = 0;

  friend bool operator==(const request_cancel&,
                         const request_cancel&) = default;
};

inline constexpr size_t kMaxRequestCancels = 200;

/// What came of a command that the log holds.
enum class command_outcome { accepted, contested, rejected };

/// One command of the log and what came of it.
struct history_entry {
  /// Log offset of the record; the object's version if it was accepted.
  int64_t offset = 0;
  /// When the log recorded it.
  absl::Time recorded;
  config_command command;
  command_outcome outcome = command_outcome::accepted;
  /// Why it was contested or rejected; empty when accepted.
  std::string detail;

  friend bool operator==(const history_entry&, const history_entry&) = default;
};

/// Entries of history kept: more than half a day of changes.
inline constexpr size_t kMaxHistory = 3000;

/// The whole configuration as of one log offset.
struct config_state {
  /// Offset of the last record applied; zero for none.
  int64_t applied_offset = 0;
  std::map<std::string, pool_config, std::less<>> pools;
  std::map<std::string, upstream_config, std::less<>> upstreams;
  std::map<std::string, route_config, std::less<>> routes;
  std::map<std::string, key_config, std::less<>> keys;
  std::map<std::string, team_config, std::less<>> teams;
  std::map<std::string, link_config, std::less<>> links;
  /// Oldest first; at most `kMaxRequestCancels`.
  std::vector<request_cancel> cancels;
  /// Oldest first; at most `kMaxHistory`. Its ids tell a repeated record.
  std::deque<std::shared_ptr<const history_entry>> history;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_CONFIG_STATE_H_
