#include "dispatch/stream_size.h"

#include <algorithm>
#include <limits>

#include "base/clock.h"
#include "dispatch/stop_admission.h"
#include "dispatch/stream_demand.h"
#include "dispatch/stream_limits.h"

namespace anvilridge {
namespace {

double TokenLimit(const routed_request& routed) {
  return static_cast<double>(routed.request.max_output_tokens);
}

// Returns the largest number of tokens that the request allows after `events`
// events, each of which has one token at least; infinite if it has no limit.
double LongestRest(const routed_request& routed, int events) {
  const double limit = TokenLimit(routed);
  if (limit <= 0) return std::numeric_limits<double>::infinity();
  return std::max(0.0, limit - events);
}

// Returns the number of tokens after `generated` ones that one stream in a
// hundred exceeds; infinite if too few lengths are known.
double EstimatedRest(const dispatch_state& state, const routed_request& routed,
                     const length_distribution& length, double generated) {
  const double limit = TokenLimit(routed);
  if (limit <= 0 || !KnowsLengths(state, routed.service->name)) {
    return std::numeric_limits<double>::infinity();
  }
  return EstimateLongestRemaining(length, generated, limit);
}

// Returns how many more tokens there are at least after `generated` ones.
double ShortestRest(const dispatch_state& state, const routed_request& routed,
                    const length_distribution& length, double generated) {
  if (!KnowsLengths(state, routed.service->name)) return 0;
  return EstimateShortestRemaining(length, generated, TokenLimit(routed));
}

}  // namespace

double TokensOf(const routed_request& routed, int events) {
  const double tokens =
      static_cast<double>(routed.service->engine.tokens_per_event) * events;
  return std::clamp(tokens, 0.0, TokenLimit(routed));
}

double ExpectedTokens(const routed_request& routed,
                      const length_distribution& length, double generated) {
  return EstimateRemaining(length, generated, TokenLimit(routed));
}

waiting_stream MakeWaitingStream(const dispatch_state& state,
                                 const routed_request& routed,
                                 const length_distribution& length,
                                 int events) {
  const fleet_request& request = routed.request;
  const fleet_route& route = *routed.route;
  const std::string& service = routed.service->name;
  const absl::Time now = MonotonicNow();
  waiting_stream waiting;
  waiting.request_id = request.id;
  waiting.service = service;
  waiting.prompt = static_cast<double>(request.prompt_tokens);
  waiting.generated = TokensOf(routed, events);
  waiting.priority = routed.priority;
  waiting.output = ExpectedTokens(routed, length, waiting.generated);
  if (route.gap_target > absl::ZeroDuration()) {
    waiting.gap_target = route.gap_target;
  }
  waiting.latest_on_time_start = LatestOnTimeStart(request, route);
  waiting.deadline = ResponseDeadline(request, route);
  waiting.shortest_run =
      ShortestRun(state, service,
                  ShortestRest(state, routed, length, waiting.generated), now);
  const double to_prefill = waiting.prompt + waiting.generated;
  waiting.longest_run =
      LongestRun(state, service, LongestRest(routed, events), to_prefill, now);
  waiting.estimated_run = LongestRun(
      state, service, EstimatedRest(state, routed, length, waiting.generated),
      to_prefill, now);
  waiting.latest_start =
      LatestStart(request, route, waiting.output, state.ledger.tokens_per_ms,
                  waiting.deadline);
  return waiting;
}

}  // namespace anvilridge
