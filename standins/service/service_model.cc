#include "service/service_model.h"

#include <algorithm>

namespace anvilridge {
namespace {

bool FenceRefuses(service_state& state, const service_call& call,
                  absl::Time now) {
  if (!state.checks_fencing || !call.fencing_number) return false;
  int64_t& highest = state.highest_fence[call.idempotency_key];
  const bool stale = *call.fencing_number < highest;
  highest = std::max(highest, *call.fencing_number);
  return stale || call.fence_expires <= now;
}

}  // namespace

service_outcome Execute(service_state& state, const service_call& call,
                        absl::Time now) {
  service_outcome outcome;
  if (FenceRefuses(state, call, now)) {
    ++state.refused;
    outcome.refused = true;
    return outcome;
  }
  ++state.total;
  outcome.executions = ++state.executions[call.idempotency_key];
  return outcome;
}

}  // namespace anvilridge
