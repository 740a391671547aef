#include "model_loads/engine_orders.h"

#include <algorithm>
#include <cmath>

#include "config/config_names.h"

namespace anvilridge {
namespace {

bool IsWholeModelLoad(const upstream_order& order) {
  return order.kind == order_kind::load && order.adapter.empty();
}

// Returns whether a later load replaces the load `order`: an engine serves one
// model, so only the latest load is carried out.
bool IsSuperseded(const upstream_order& order, const upstream_config& engine) {
  if (!IsWholeModelLoad(order)) return false;
  return std::any_of(engine.orders.begin(), engine.orders.end(),
                     [&](const upstream_order& other) {
                       return IsWholeModelLoad(other) &&
                              other.fence > order.fence;
                     });
}

bool InfoShowsEffect(const engine_info& info, const upstream_order& order) {
  if (order.kind == order_kind::role) {
    return absl::string_view(info.role) == NameOf(order.role);
  }
  return info.model == order.model && info.version == order.model_version;
}

bool IsClosed(const order_record& record) {
  return record.stage == order_stage::done ||
         record.stage == order_stage::refused;
}

// Returns the oldest order that is neither done nor refused; nullptr if none.
const upstream_order* FindOldestOpenOrder(const engine_order_state& state,
                                          const upstream_config& engine) {
  const upstream_order* oldest = nullptr;
  for (const upstream_order& order : engine.orders) {
    const auto record = state.orders.find(order.fence);
    if (record == state.orders.end() || IsClosed(record->second)) continue;
    if (oldest == nullptr || order.fence < oldest->fence) oldest = &order;
  }
  return oldest;
}

// Marks the order as done while the info shows its effect. Resets the record of
// a done order whose effect is no longer shown.
void UpdateDone(order_record& record, bool has_effect) {
  if (has_effect) {
    record = order_record();
    record.stage = order_stage::done;
  } else if (record.stage == order_stage::done) {
    record = order_record();
  }
}

// Returns whether the order must wait until the engine has no requests left;
// if so, sets `step` to the step that is due meanwhile.
bool MustAwaitEmptyEngine(const engine_order_state& state, bool can_leave,
                          const order_policy& policy, absl::Time now,
                          step_kind& step) {
  if (!state.leaving_since) {
    step = can_leave ? step_kind::leave : step_kind::none;
    return true;
  }
  const absl::Time all_notified_at =
      *state.leaving_since + policy.leave_propagation_time;
  if (now < all_notified_at) {
    step = step_kind::none;
    return true;
  }
  const bool count_is_current = state.request_count.has_value() &&
                                state.requests_counted_at >= all_notified_at;
  if (count_is_current && *state.request_count == 0) return false;
  const bool count_is_due =
      !count_is_current ||
      now - state.requests_counted_at >= policy.poll_interval;
  step = count_is_due ? step_kind::count_requests : step_kind::none;
  return true;
}

}  // namespace

bool IsVisibleInInfo(const upstream_order& order) {
  return order.kind == order_kind::role || IsWholeModelLoad(order);
}

bool RequiresEmptyEngine(const upstream_order& order) {
  return IsVisibleInInfo(order);
}

void UpdateOrders(engine_order_state& state, const upstream_config& engine) {
  std::map<int64_t, order_record> records;
  for (const upstream_order& order : engine.orders) {
    if (IsSuperseded(order, engine)) continue;
    order_record& record = records[order.fence];
    const auto known = state.orders.find(order.fence);
    if (known != state.orders.end()) record = known->second;
    if (state.info && IsVisibleInInfo(order)) {
      UpdateDone(record, InfoShowsEffect(*state.info, order));
    }
  }
  state.orders = std::move(records);
  const bool has_undone_order = std::any_of(
      engine.orders.begin(), engine.orders.end(),
      [&](const upstream_order& order) {
        const auto record = state.orders.find(order.fence);
        return record != state.orders.end() && RequiresEmptyEngine(order) &&
               record->second.stage != order_stage::done;
      });
  if (has_undone_order) return;
  state.leaving_since.reset();
  state.request_count.reset();
}

order_step NextStep(const engine_order_state& state,
                    const upstream_config& engine, const order_limits& limits,
                    const order_policy& policy, absl::Time now) {
  if (state.call_in_progress || engine.orders.empty()) return {};
  const upstream_order* order = FindOldestOpenOrder(state, engine);
  const absl::Duration interval =
      order == nullptr ? policy.idle_poll_interval : policy.poll_interval;
  if (now - state.info_polled_at >= interval) return {step_kind::poll_info, {}};
  if (order == nullptr || !state.info) return {};
  const order_record& record = state.orders.at(order->fence);
  if (now < record.retry_at) return {};
  if (now - record.sent_at < policy.resend_after) return {};
  const bool load = order->kind == order_kind::load;
  if (load && limits.has_weight_store && !record.delivered) {
    if (!limits.can_fetch) return {};
    return {step_kind::fetch, *order};
  }
  // A role change has already removed the engine from its old pool, so the
  // limit of the pool does not apply.
  const bool can_leave = limits.can_leave || !load;
  step_kind meanwhile = step_kind::none;
  if (RequiresEmptyEngine(*order) &&
      MustAwaitEmptyEngine(state, can_leave, policy, now, meanwhile)) {
    return {meanwhile, *order};
  }
  return {step_kind::send, *order};
}

void RecordFailure(engine_order_state& state, int64_t fence,
                   const order_policy& policy, absl::Time now) {
  const auto found = state.orders.find(fence);
  if (found == state.orders.end()) return;
  order_record& record = found->second;
  const absl::Duration delay =
      policy.first_retry_delay * std::pow(2.0, std::min(record.failures, 16));
  ++record.failures;
  record.retry_at = now + std::min(delay, policy.max_retry_delay);
}

absl::string_view NameOf(order_stage stage) {
  switch (stage) {
    case order_stage::waiting:
      return "waiting";
    case order_stage::fetching:
      return "fetching";
    case order_stage::leaving:
      return "leaving";
    case order_stage::sent:
      return "sent";
    case order_stage::done:
      return "done";
    case order_stage::refused:
      return "refused";
  }
  return "";
}

}  // namespace anvilridge
