#ifndef ANVILRIDGE_DAEMON_TRAFFIC_METRICS_H_
#define ANVILRIDGE_DAEMON_TRAFFIC_METRICS_H_

#include "metrics/metrics.h"
#include "requests/request_metrics.h"

namespace anvilridge {

/// Upper bounds of the buckets, in seconds, closest around the targets of a
/// first token (1 s) and of the time between tokens (27 ms).
const std::vector<double>& FirstTokenBuckets();
const std::vector<double>& TokenIntervalBuckets();

/// Returns what the flows report to; all of it ends in `registry`, which must
/// outlive every copy.
request_metrics MakeRequestMetrics(metrics_registry& registry);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_TRAFFIC_METRICS_H_
