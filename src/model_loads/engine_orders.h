#ifndef ANVILRIDGE_MODEL_LOADS_ENGINE_ORDERS_H_
#define ANVILRIDGE_MODEL_LOADS_ENGINE_ORDERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "config/config_state.h"

namespace anvilridge {

/// Model, version and role that an engine reports.
struct engine_info {
  std::string model;
  std::string version;
  std::string role;
};

/// Progress of an order at the home of its engine.
enum class order_stage { waiting, fetching, leaving, sent, done, refused };

/// Progress of one order and the times of its retries.
struct order_record {
  order_stage stage = order_stage::waiting;
  /// Whether the weight store has delivered the weights of a load.
  bool delivered = false;
  /// Consecutive failed attempts; each doubles the delay before the next one.
  int failures = 0;
  absl::Time retry_at = absl::InfinitePast();
  absl::Time sent_at = absl::InfinitePast();
};

/// Orders of one engine and its last reported state, kept at the home of the
/// engine.
struct engine_order_state {
  /// Last reported info; empty until the first successful poll.
  std::optional<engine_info> info;
  absl::Time info_polled_at = absl::InfinitePast();
  /// Number of requests at the engine by the last count; empty if there was no
  /// count or it failed.
  std::optional<int> request_count;
  absl::Time requests_counted_at = absl::InfinitePast();
  /// Time from which on the engine gets no new requests; empty while it does.
  std::optional<absl::Time> leaving_since;
  /// By fencing number.
  std::map<int64_t, order_record> orders;
  /// Whether a call for this engine is in progress.
  bool call_in_progress = false;
};

/// Intervals and retry delays of orders.
struct order_policy {
  /// Time after which every daemon has received the announcement that an engine
  /// is leaving.
  absl::Duration leave_propagation_time = absl::Seconds(2);
  /// Time between two polls of an engine with an order that is neither done nor
  /// refused.
  absl::Duration poll_interval = absl::Milliseconds(500);
  /// Time between two polls of an engine whose orders are all done or refused.
  absl::Duration idle_poll_interval = absl::Seconds(10);
  /// Time after which an order without effect at the engine is sent again.
  absl::Duration resend_after = absl::Seconds(30);
  /// Delay before the first retry; doubled by each further failure, up to
  /// `max_retry_delay`.
  absl::Duration first_retry_delay = absl::Seconds(1);
  absl::Duration max_retry_delay = absl::Seconds(30);
};

/// Conditions outside the engine that limit its next step.
struct order_limits {
  /// Whether the home may start another delivery by the weight store.
  bool can_fetch = true;
  /// Whether the deployment has a weight store.
  bool has_weight_store = true;
  /// Whether the pool can do without the engine during a load.
  bool can_leave = true;
};

enum class step_kind {
  none,
  /// Poll the info of the engine.
  poll_info,
  /// Have the weight store deliver weights to the engine.
  fetch,
  /// Stop giving new requests to the engine.
  leave,
  /// Count the requests that the engine still has.
  count_requests,
  /// Send the order to the engine.
  send
};

/// The next call or change for one engine.
struct order_step {
  step_kind kind = step_kind::none;
  /// The order that the step belongs to; default-constructed for `none` and
  /// `poll_info`.
  upstream_order order;
};

/// Returns whether `GET /v1/info` shows the effect of `order`. It shows roles
/// and loads of whole models, but not adapters or unloads.
bool IsVisibleInInfo(const upstream_order& order);

/// Returns whether all requests of the engine must have ended before `order` is
/// sent.
bool RequiresEmptyEngine(const upstream_order& order);

/// Updates the records from the orders in the configuration of `engine` and
/// from its reported info. An order that `IsVisibleInInfo` is done while the
/// info shows its effect, and is carried out again when it no longer does.
/// Clears `leaving_since` once every order that requires an empty engine is
/// done; a refused one keeps the engine leaving.
void UpdateOrders(engine_order_state& state, const upstream_config& engine);

/// Returns the next step for `engine`. Orders are carried out one at a time,
/// the oldest first, so that the engine receives ascending fencing numbers.
order_step NextStep(const engine_order_state& state,
                    const upstream_config& engine, const order_limits& limits,
                    const order_policy& policy, absl::Time now);

/// Records that the last attempt at the order with fencing number `fence`
/// failed, and sets the time of the next one.
void RecordFailure(engine_order_state& state, int64_t fence,
                   const order_policy& policy, absl::Time now);

/// Returns the name of `stage` as shown to operators.
absl::string_view NameOf(order_stage stage);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MODEL_LOADS_ENGINE_ORDERS_H_
