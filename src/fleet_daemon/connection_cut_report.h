#ifndef ANVILRIDGE_FLEET_DAEMON_CONNECTION_CUT_REPORT_H_
#define ANVILRIDGE_FLEET_DAEMON_CONNECTION_CUT_REPORT_H_

#include "caller/connection_cut.h"
#include "metrics/metrics.h"

namespace anvilridge {

/// Logs and counts a caller's connection that was ended although a request on
/// it had no whole answer. Any thread.
void ReportConnectionCut(const connection_cut& cut, metrics_registry& metrics);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_CONNECTION_CUT_REPORT_H_
