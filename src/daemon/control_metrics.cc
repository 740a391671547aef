#include "daemon/control_metrics.h"

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

void SetControlBytes(const control_state& state, metrics_registry& to) {
  const auto set = [&to](const char* channel, const char* direction,
                         uint64_t bytes) {
    to.Gauge(kControlBytes, {{"channel", channel}, {"direction", direction}})
        .Set(static_cast<double>(bytes));
  };
  set("membership", "sent", state.membership.BytesSent());
  set("membership", "received", state.membership.BytesReceived());
  set("peers", "sent", state.peers_out.BytesSent());
  set("peers", "received", state.peers_out.BytesReceived());
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
  SetControlBytes(state, to);
}

}  // namespace anvilridge
