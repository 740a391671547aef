#include "dispatch/stage_plan.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace anvilridge {
namespace {

// Streams before the means are believed.
constexpr double kLeastStreams = 8;
// Streams that the means remember: some seconds of usual traffic.
constexpr double kMemory = 60;
// Part of decode memory that can be filled without running over.
constexpr double kFillable = 0.9;
// Prefill engines beyond the balance: a prompt that waits delays its stream at
// once, while decode engines can read prompts themselves, only slower.
constexpr double kPrefillReserve = 1.1;
// A change is worth it when the balance lies this many engines away. Fewer
// prefill engines than the balance are borne longer: decode engines can read
// prompts, and one that changes is away for seconds.
constexpr double kLeastSurplus = 0.6;
constexpr double kLeastLack = 1.0;
// How long a want must last; longer when prefill is to grow or the last change
// is recent, so that a short burst of one kind does not turn engines about.
constexpr absl::Duration kSteadyFor = absl::Milliseconds(800);

bool IsUsable(const fleet_upstream& engine) { return !engine.draining; }

// The engine whose domain has most engines of `stage` for its size.
const fleet_upstream* Pick(absl::Span<const fleet_upstream> engines,
                           engine_stage stage) {
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

void LearnWorkload(stream_workload& workload, double prompt, double output) {
  workload.streams = std::min(workload.streams + 1, kMemory);
  const double share = 1 / workload.streams;
  workload.mean_prompt += share * (prompt - workload.mean_prompt);
  workload.mean_output += share * (output - workload.mean_output);
}

double PrefillShare(const stream_workload& workload) {
  const double prefill_ms =
      kPrefillReserve * workload.mean_prompt / workload.prefill_tokens_per_ms;
  const double run_ms = workload.mean_output / workload.decode_tokens_per_ms;
  const double memory = (workload.mean_prompt + workload.mean_output / 2) *
                        run_ms / (kFillable * workload.kv_tokens);
  const double slots = run_ms / std::max(1, workload.slots);
  const double decode_ms = std::max(memory, slots);
  return prefill_ms / (prefill_ms + decode_ms);
}

std::optional<stage_change> PlanStageChange(
    stage_steering& steering, const stream_workload& workload,
    absl::Span<const fleet_upstream> engines, absl::Duration switch_time,
    absl::Time now) {
  if (workload.streams < kLeastStreams) return std::nullopt;
  int usable = 0;
  int prefill = 0;
  for (const fleet_upstream& engine : engines) {
    if (!IsUsable(engine) || engine.stage == engine_stage::none) continue;
    ++usable;
    if (engine.stage == engine_stage::prefill) ++prefill;
  }
  if (usable < 2) return std::nullopt;
  const double balance = PrefillShare(workload) * usable;
  int wanted = prefill;
  if (prefill - balance >= kLeastSurplus || balance - prefill >= kLeastLack) {
    wanted = std::clamp(static_cast<int>(std::lround(balance)), 1, usable - 1);
  }
  if (wanted != steering.wanted_prefill) {
    steering.wanted_prefill = wanted;
    steering.wanted_since = now;
  }
  if (wanted == prefill) return std::nullopt;
  const bool grows = wanted > prefill;
  const absl::Duration steady = grows ? 3 * kSteadyFor : kSteadyFor;
  if (now - steering.wanted_since < steady) return std::nullopt;
  if (grows && now - steering.changed < switch_time) return std::nullopt;
  const fleet_upstream* engine =
      Pick(engines, grows ? engine_stage::decode : engine_stage::prefill);
  if (engine == nullptr) return std::nullopt;
  steering.changed = now;
  return stage_change{*engine,
                      grows ? engine_stage::prefill : engine_stage::decode};
}

}  // namespace anvilridge
