#ifndef ANVILRIDGE_DISPATCH_STAGE_PLAN_H_
#define ANVILRIDGE_DISPATCH_STAGE_PLAN_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "fleet/fleet_upstream.h"

namespace anvilridge {

/// What the streams of one service ask for, as measured.
struct stream_workload {
  /// Streams that the means rest on.
  double streams = 0;
  double mean_prompt = 0;
  double mean_output = 0;
  double prefill_tokens_per_ms = 0;
  double decode_tokens_per_ms = 0;
  double kv_tokens = 0;
  int slots = 0;
};

/// Notes a stream that is asked for; older ones count less.
void LearnWorkload(stream_workload& workload, double prompt, double output);

/// Returns the part of the engines that should read prompts, so that both
/// stages are used up at the same load.
double PrefillShare(const stream_workload& workload);

/// Changes an engine to another stage.
struct stage_change {
  fleet_upstream engine;
  engine_stage stage = engine_stage::none;
};

/// Since when the stages don't fit the workload, and when one was changed last.
struct stage_steering {
  int wanted_prefill = -1;
  absl::Time wanted_since;
  absl::Time changed = absl::InfinitePast();
};

/// Decides whether an engine changes its stage at `now`. A want must last
/// before it is followed, and the engine that changed last must be back.
/// @param switch_time how long an engine is away while it changes.
std::optional<stage_change> PlanStageChange(
    stage_steering& steering, const stream_workload& workload,
    absl::Span<const fleet_upstream> engines, absl::Duration switch_time,
    absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STAGE_PLAN_H_
