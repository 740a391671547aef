#include "dispatch/stream_demand.h"

namespace anvilridge {

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

}  // namespace anvilridge
