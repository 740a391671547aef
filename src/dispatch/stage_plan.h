#ifndef ANVILRIDGE_DISPATCH_STAGE_PLAN_H_
#define ANVILRIDGE_DISPATCH_STAGE_PLAN_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "fleet/fleet_upstream.h"

namespace anvilridge {

/// Mean size of one service's streams, and what its engines can do.
struct stream_workload {
  /// Number of streams in the means, up to a maximum.
  double streams = 0;
  /// Mean tokens of the prompt.
  double mean_prompt = 0;
  /// Mean tokens that are generated.
  double mean_output = 0;
  /// Speed of one prefill engine, as measured.
  double prefill_tokens_per_ms = 0;
  /// Speed of one run at a decode engine, as measured.
  double decode_tokens_per_ms = 0;
  /// KV memory of a decode engine in tokens.
  double kv_tokens = 0;
  /// Runs that a decode engine can hold.
  int slots = 0;
};

/// Adds a requested stream to the means; older streams count less.
/// @param prompt tokens of the prompt.
/// @param output tokens that are expected to be generated.
void UpdateWorkload(stream_workload& workload, double prompt, double output);

/// Returns the share of the engines that should prefill, from 0 to 1, for which
/// both stages reach their capacity at the same load.
double PrefillShare(const stream_workload& workload);

/// A change of one engine to another stage.
struct stage_change {
  fleet_upstream engine;
  /// The new stage.
  engine_stage stage = engine_stage::none;
};

/// State of a service's stage changes between calls of `PlanStageChange`.
struct stage_steering {
  /// Number of prefill engines that fits the workload; -1 before the first
  /// call.
  int target_prefill_engines = -1;
  /// Since when the target has been the same.
  absl::Time target_since;
  /// When a change was planned last.
  absl::Time changed_at = absl::InfinitePast();
};

/// Decides whether an engine changes its stage at `now`. The target must have
/// been the same for some time. An engine changes to prefill only once the
/// engine that changed last is back.
/// @param switch_time how long an engine is unavailable while it changes.
std::optional<stage_change> PlanStageChange(
    stage_steering& steering, const stream_workload& workload,
    absl::Span<const fleet_upstream> engines, absl::Duration switch_time,
    absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STAGE_PLAN_H_
