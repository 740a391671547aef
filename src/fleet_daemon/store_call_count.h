#ifndef ANVILRIDGE_FLEET_DAEMON_STORE_CALL_COUNT_H_
#define ANVILRIDGE_FLEET_DAEMON_STORE_CALL_COUNT_H_

#include "fleet_daemon/fleet_control.h"
#include "metrics/metrics.h"

namespace anvilridge {

/// Returns `sources` with each call to the store counted in `metrics`, by
/// topic and kind of call.
/// @param metrics outlives the result.
fleet_sources CountStoreCalls(fleet_sources sources, metrics_registry& metrics);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_STORE_CALL_COUNT_H_
