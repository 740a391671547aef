#include "dispatch/stream_limits.h"

#include <algorithm>

#include "dispatch/dispatch_state.h"

namespace anvilridge {
namespace {

// Part of the latency target for which a stream may wait for memory.
constexpr double kWaitShare = 0.6;
// Number of latency targets after its arrival for which a late stream may wait.
// Callers abandon a stream without a first event after four latency targets.
constexpr double kLateWaitLatencyTargets = 3;
// Multiple of its expected duration after which a prefill is slow.
constexpr double kSlowPrefillFactor = 3;
// Bounds of callers' patience: they abandon a stream after the longest of these
// pauses.
constexpr absl::Duration kMinCallerPatience = absl::Seconds(2);
constexpr double kPatienceLatencyTargets = 4;
constexpr double kPatienceGapTargets = 8;
// Part of callers' patience after which a silent stream is continued elsewhere;
// the rest is for the other engine to prefill.
constexpr double kStallPatienceShare = 0.5;

// Returns the pause after which callers abandon a stream of `route`.
absl::Duration CallerPatience(const fleet_route& route) {
  return std::max({kMinCallerPatience,
                   route.latency_target * kPatienceLatencyTargets,
                   route.gap_target * kPatienceGapTargets});
}

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

absl::Duration SlowPrefillTime(double tokens, double backlog,
                               double tokens_per_ms) {
  return std::max(kLongestSoundSilence,
                  absl::Milliseconds(kSlowPrefillFactor * (backlog + tokens) /
                                     tokens_per_ms));
}

absl::Duration StallTimeout(const fleet_route& route) {
  return std::max(kLongestSoundSilence,
                  CallerPatience(route) * kStallPatienceShare);
}

absl::Time FirstEventDeadline(const fleet_request& request,
                              const fleet_route& route) {
  return std::min(ResponseDeadline(request, route),
                  request.received + CallerPatience(route) - kResponseMargin);
}

}  // namespace anvilridge
