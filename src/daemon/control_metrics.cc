#include "daemon/control_metrics.h"

#include "base/control_traffic.h"
#include "daemon/metric_names.h"

namespace anvilridge {
namespace {

double SizeOf(const published<name_set>& names) {
  const auto set = names.Get();
  return set ? static_cast<double>(set->size()) : 0;
}

// Raises a counter to what is counted elsewhere.
void RaiseTo(prometheus::Counter& counter, uint64_t total) {
  counter.Increment(static_cast<double>(total) - counter.Value());
}

void SetControlBytes(metrics_registry& to) {
  using enum control_channel;
  using enum traffic_direction;
  const auto set = [&to](const char* channel_name, control_channel channel) {
    for (const traffic_direction direction : {sent, received}) {
      const char* name = direction == sent ? "sent" : "received";
      const int64_t bytes = ControlBytes(channel, direction);
      to.Gauge(kControlBytes, {{"channel", channel_name}, {"direction", name}})
          .Set(static_cast<double>(bytes));
    }
  };
  set("membership", membership);
  set("peers", peers);
}

}  // namespace

void UpdateControlMetrics(const control_state& state, metrics_registry& to) {
  const auto config = state.config.InForce();
  const auto offset = config ? config->applied_offset : 0;
  to.Gauge(kConfigOffset).Set(static_cast<double>(offset));
  to.Gauge(kLogOut).Set(state.config.LogOut() ? 1 : 0);
  to.Gauge(kLiveDaemons).Set(static_cast<double>(state.live_names.size()));
  to.Gauge(kCancelsPending).Set(static_cast<double>(state.cancels.Pending()));
  to.Gauge(kRequestsActive)
      .Set(static_cast<double>(state.requests.active.size()));
  to.Gauge(kUpstreamsEjected).Set(SizeOf(state.ejected));
  to.Gauge(kUpstreamsLeaving)
      .Set(SizeOf(state.leaving) + SizeOf(state.under_order));
  to.Gauge(kConfigAge).Set(absl::ToDoubleSeconds(ConfigAge(state)));
  RaiseTo(to.Counter(kOrphansCancelled), state.orphans_cancelled);
  SetControlBytes(to);
}

}  // namespace anvilridge
