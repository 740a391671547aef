#ifndef ANVILRIDGE_STANDINS_SERVICE_SERVICE_MODEL_H_
#define ANVILRIDGE_STANDINS_SERVICE_SERVICE_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "common/fault_table.h"

namespace anvilridge {

/// The executions of one plain service.
struct service_state {
  bool checks_fencing = false;
  fault_table faults;
  int64_t total = 0;
  int64_t refused = 0;
  int64_t reads = 0;
  std::map<std::string, int64_t> executions;
  std::map<std::string, int64_t> highest_fence;
};

/// What a call carries beside its body.
struct service_call {
  std::string idempotency_key;
  std::optional<int64_t> fencing_number;
  /// When the fencing number expires; infinite when the call does not say.
  absl::Time fence_expires = absl::InfiniteFuture();
};

/// How a call ended.
struct service_outcome {
  bool refused = false;
  /// How often the call's key has been executed, this time included.
  int64_t executions = 0;
};

/// Executes `call`, unless its fencing number is refused.
service_outcome Execute(service_state& state, const service_call& call,
                        absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_SERVICE_SERVICE_MODEL_H_
