#ifndef ANVILRIDGE_DAEMON_CONTROL_METRICS_H_
#define ANVILRIDGE_DAEMON_CONTROL_METRICS_H_

#include "daemon/control_state.h"
#include "metrics/metrics.h"

namespace anvilridge {

/// Sets the metrics that tell the state of the control plane as it is now; to
/// be called on the control thread before each scrape.
void UpdateControlMetrics(const control_state& state, metrics_registry& to);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_CONTROL_METRICS_H_
