#include "dispatch/stream_limits.h"

#include <algorithm>

namespace anvilridge {
namespace {

// Part of the latency target for which a stream may wait for memory.
constexpr double kWaitShare = 0.6;
// Number of latency targets after its arrival for which a late stream may wait.
// Callers abandon a stream without a first event after four latency targets.
constexpr double kLateWaitLatencyTargets = 3;
// Multiple of its expected duration after which a prefill times out, and the
// shortest such timeout.
constexpr double kPrefillTimeoutFactor = 3;
constexpr absl::Duration kMinPrefillTimeout = absl::Milliseconds(400);
// Number of gap targets without an event after which a resumable stream is
// resumed at another engine. Callers abandon a stream after eight.
constexpr double kStallGapTargets = 5;
// Shortest pause after which a stream is resumed at another engine, also for
// routes without a gap target. It is the time of several events.
constexpr absl::Duration kMinStallTimeout = absl::Milliseconds(500);
// Number of latency targets after the send to the decode engine within which
// the first event must arrive.
constexpr double kFirstEventLatencyTargets = 1.3;

}  // namespace

absl::Time LatestOnTimeStart(const fleet_request& request,
                             const fleet_route& route) {
  return request.received + route.latency_target * kWaitShare;
}

absl::Time LatestStart(const fleet_request& request, const fleet_route& route,
                       double output, double tokens_per_ms,
                       absl::Time deadline) {
  const absl::Duration duration = absl::Milliseconds(output / tokens_per_ms) +
                                  route.latency_target * (1 - kWaitShare);
  return std::min(
      request.received + route.latency_target * kLateWaitLatencyTargets,
      deadline - duration);
}

absl::Duration PrefillTimeout(double tokens, double backlog,
                              double tokens_per_ms) {
  return std::max(kMinPrefillTimeout,
                  absl::Milliseconds(kPrefillTimeoutFactor *
                                     (backlog + tokens) / tokens_per_ms));
}

absl::Duration StallTimeout(const fleet_route& route, int run_events) {
  return run_events == 0
             ? route.latency_target * kFirstEventLatencyTargets
             : std::max(route.gap_target * kStallGapTargets, kMinStallTimeout);
}

}  // namespace anvilridge
