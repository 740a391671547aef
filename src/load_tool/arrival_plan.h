#ifndef ANVILRIDGE_LOAD_TOOL_ARRIVAL_PLAN_H_
#define ANVILRIDGE_LOAD_TOOL_ARRIVAL_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "load_tool/load_profile.h"

namespace anvilridge {

/// What a planned request asks for.
enum class load_kind { completion, posting, lookup };

/// One request of an open-loop run.
struct planned_request {
  /// From the start of the run.
  absl::Duration at;
  load_kind kind = load_kind::completion;
  std::string prompt;
  int max_tokens = 0;
};

/// Plans the arrivals of `duration`: a Poisson process whose completions come
/// at `completions_per_second`, with the mix of `profile`. The same seed gives
/// the same plan.
std::vector<planned_request> PlanArrivals(const load_profile& profile,
                                          double completions_per_second,
                                          absl::Duration duration,
                                          uint64_t seed);

}  // namespace anvilridge

#endif  // ANVILRIDGE_LOAD_TOOL_ARRIVAL_PLAN_H_
