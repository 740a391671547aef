#include "dispatch/stage_plan.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace anvilridge {
namespace {

// Least number of streams for the means to be used.
constexpr double kMinStreams = 8;
// Largest number of streams in the means: some seconds of usual traffic.
constexpr double kMaxStreams = 60;
// Share of decode memory that can be filled without exceeding it.
constexpr double kUsableMemoryShare = 0.9;
// Factor by which the time for prefill is raised to get more prefill engines
// than the exact balance: a prompt that waits delays its stream at once, while
// decode engines can prefill prompts themselves, only more slowly.
constexpr double kPrefillHeadroom = 1.1;
// Number of prefill engines by which a service must exceed or miss the balance
// for an engine to change. More may be missing than in excess: decode engines
// can prefill prompts themselves, and an engine that changes is unavailable for
// seconds.
constexpr double kMinPrefillSurplus = 0.6;
constexpr double kMinPrefillDeficit = 1.0;
// How long a target must have been the same before an engine changes; three
// times as long before one changes to prefill. A short burst of one kind of
// stream must not change engines back and forth.
constexpr absl::Duration kTargetSettleTime = absl::Milliseconds(800);

bool IsUsable(const fleet_upstream& engine) { return !engine.draining; }

// Returns an engine of `stage` in the failure domain with the largest share of
// such engines; null when there is none.
const fleet_upstream* PickEngineToSwitch(
    absl::Span<const fleet_upstream> engines, engine_stage stage) {
  std::map<std::string, int> of_stage;
  std::map<std::string, int> all;
  for (const fleet_upstream& engine : engines) {
    if (!IsUsable(engine)) continue;
    ++all[engine.failure_domain];
    if (engine.stage == stage) ++of_stage[engine.failure_domain];
  }
  const fleet_upstream* best = nullptr;
  double best_share = -1;
  for (const fleet_upstream& engine : engines) {
    if (!IsUsable(engine) || engine.stage != stage) continue;
    const double share = static_cast<double>(of_stage[engine.failure_domain]) /
                         all[engine.failure_domain];
    if (share > best_share) {
      best = &engine;
      best_share = share;
    }
  }
  return best;
}

}  // namespace

void UpdateWorkload(stream_workload& workload, double prompt, double output) {
  workload.streams = std::min(workload.streams + 1, kMaxStreams);
  const double gain = 1 / workload.streams;
  workload.mean_prompt += gain * (prompt - workload.mean_prompt);
  workload.mean_output += gain * (output - workload.mean_output);
}

double PrefillShare(const stream_workload& workload) {
  const double prefill_ms =
      kPrefillHeadroom * workload.mean_prompt / workload.prefill_tokens_per_ms;
  const double run_ms = workload.mean_output / workload.decode_tokens_per_ms;
  const double memory = (workload.mean_prompt + workload.mean_output / 2) *
                        run_ms / (kUsableMemoryShare * workload.kv_tokens);
  const double slots = run_ms / std::max(1, workload.slots);
  const double decode_ms = std::max(memory, slots);
  return prefill_ms / (prefill_ms + decode_ms);
}

std::optional<stage_change> PlanStageChange(
    stage_steering& steering, const stream_workload& workload,
    absl::Span<const fleet_upstream> engines, absl::Duration switch_time,
    absl::Time now) {
  if (workload.streams < kMinStreams) return std::nullopt;
  int usable = 0;
  int prefill = 0;
  for (const fleet_upstream& engine : engines) {
    if (!IsUsable(engine) || engine.stage == engine_stage::none) continue;
    ++usable;
    if (engine.stage == engine_stage::prefill) ++prefill;
  }
  if (usable < 2) return std::nullopt;
  const double balance = PrefillShare(workload) * usable;
  int target = prefill;
  if (prefill - balance >= kMinPrefillSurplus ||
      balance - prefill >= kMinPrefillDeficit) {
    target = std::clamp(static_cast<int>(std::lround(balance)), 1, usable - 1);
  }
  if (target != steering.target_prefill_engines) {
    steering.target_prefill_engines = target;
    steering.target_since = now;
  }
  if (target == prefill) return std::nullopt;
  const bool to_prefill = target > prefill;
  const absl::Duration settle_time =
      to_prefill ? 3 * kTargetSettleTime : kTargetSettleTime;
  if (now - steering.target_since < settle_time) return std::nullopt;
  if (to_prefill && now - steering.changed_at < switch_time) {
    return std::nullopt;
  }
  const fleet_upstream* engine = PickEngineToSwitch(
      engines, to_prefill ? engine_stage::decode : engine_stage::prefill);
  if (engine == nullptr) return std::nullopt;
  steering.changed_at = now;
  return stage_change{
      *engine, to_prefill ? engine_stage::prefill : engine_stage::decode};
}

}  // namespace anvilridge
