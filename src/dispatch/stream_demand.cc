#include "dispatch/stream_demand.h"

#include <cmath>

#include "base/clock.h"

namespace anvilridge {
namespace {

// Least number of events from which the pace of a stream is told.
constexpr int kMinEventsOfPace = 4;
// Least number of outputs from which the length that one in twenty exceeds is
// told.
constexpr double kMinKnownLengths = 20;

}  // namespace

void RecordDemand(dispatch_state& state, const fleet_request& request,
                  const fleet_service& service, double output) {
  stream_workload& workload = state.workloads[service.name];
  UpdateWorkload(workload, static_cast<double>(request.prompt_tokens), output);
  workload.prefill_tokens_per_ms = state.ledger.prefill_tokens_per_ms;
  workload.decode_tokens_per_ms = state.ledger.tokens_per_ms;
  workload.kv_tokens = static_cast<double>(service.engine.kv_tokens);
  workload.slots = service.engine.slots;
}

void RecordOutputLength(dispatch_state& state, const fleet_request& request,
                        const fleet_service& service, int events) {
  const double tokens =
      static_cast<double>(service.engine.tokens_per_event) * events;
  if (tokens <= 0 || !request.resume_after.empty()) return;
  UpdateLengthStatistics(state.lengths[service.name],
                         static_cast<double>(request.output_estimate), tokens);
}

void RecordCutOutput(dispatch_state& state, const fleet_request& request,
                     const fleet_service& service, int events,
                     const length_distribution& expected) {
  const double tokens =
      static_cast<double>(service.engine.tokens_per_event) * events;
  if (tokens <= std::exp(expected.log_mean)) return;
  RecordOutputLength(state, request, service, events);
}

void RecordTokenTime(dispatch_state& state, const fleet_service& service,
                     int events, absl::Duration span) {
  if (events < kMinEventsOfPace) return;
  const double tokens =
      static_cast<double>(service.engine.tokens_per_event) * (events - 1);
  if (tokens <= 0) return;
  RecordDuration(state.token_times[service.name], span / tokens,
                 MonotonicNow());
}

bool KnowsLengths(const dispatch_state& state, absl::string_view service) {
  const auto lengths = state.lengths.find(service);
  return lengths != state.lengths.end() &&
         lengths->second.weight >= kMinKnownLengths;
}

}  // namespace anvilridge
