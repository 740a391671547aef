#ifndef ANVILRIDGE_OPERATORS_OPERATOR_VIEW_H_
#define ANVILRIDGE_OPERATORS_OPERATOR_VIEW_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "config/config_publisher.h"
#include "config/config_state.h"
#include "membership/membership_service.h"

namespace anvilridge {

/// One request in progress at the daemon asked.
struct request_row {
  std::string id;
  std::string team;
  std::string route;
  /// `queued`, `prefill`, `transfer`, `decode` or `service`.
  std::string phase;
  /// Upstreams that it runs on; empty while queued.
  std::string prefill_upstream;
  std::string upstream;
  int pieces = 0;
  int tokens = 0;
  absl::Duration age;
};

/// A decode slot and memory promised by the home of an engine.
struct reservation_row {
  std::string request_id;
  std::string upstream;
  /// `daemon:incarnation`.
  std::string owner;
  int pieces = 0;
  absl::Duration age;
};

/// A request on an engine whose owner is gone.
struct orphan_row {
  std::string request_id;
  std::string upstream;
  std::string owner;
  int pieces = 0;
  /// What is being done about it, such as `grace` or `cancelling`.
  std::string state;
  absl::Duration age;
};

/// How far an order of the configuration has got.
struct order_progress {
  std::string upstream;
  /// Fencing number: names the order.
  int64_t fence = 0;
  /// `waiting`, `fetching`, `leaving`, `sent`, `done` or `refused`.
  std::string state;
};

/// Why an upstream gets less work than it could, besides a drain.
struct upstream_condition {
  std::string upstream;
  /// Such as `ejected` or `leaving`.
  std::string state;
};

/// What queries see: a copy taken by the daemon that is asked.
struct operator_view {
  absl::Time now;
  /// Null until there is one.
  std::shared_ptr<const config_state> config;
  /// Whether the log has not answered lately.
  bool log_out = false;
  std::vector<member> members;
  std::vector<request_row> requests;
  std::vector<reservation_row> reservations;
  std::vector<orphan_row> orphans;
  std::vector<order_progress> orders;
  std::vector<upstream_condition> conditions;
  /// Health of the upstreams that failed lately, as the daemon asked sees it.
  std::vector<upstream_condition> health;
  /// Commands of this daemon that are not settled.
  std::vector<config_publisher> pending;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_OPERATOR_VIEW_H_
