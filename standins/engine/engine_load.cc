#include <algorithm>

#include "engine/engine_steps.h"

namespace anvilridge {
namespace {

load_sample MeasureLoad(const engine_state& state, absl::Time now) {
  load_sample load;
  load.time = now;
  for (const auto& [id, request] : state.requests) {
    load.pieces_used += request.pieces;
    const bool waits = request.phase == request_phase::queued ||
                       request.phase == request_phase::prefill;
    if (!waits) ++load.slots_used;
    if (!waits) continue;
    ++load.queued;
    load.queued_tokens += request.prompt_tokens - request.prefilled_tokens;
  }
  return load;
}

load_sample LoadAsOf(const engine_state& state, absl::Time time) {
  load_sample found;
  for (const load_sample& sample : state.loads) {
    if (sample.time > time) break;
    found = sample;
  }
  found.time = time;
  return found;
}

}  // namespace

int PiecesFor(int tokens) {
  return (tokens + kTokensPerPiece - 1) / kTokensPerPiece;
}

int PiecesHeld(const engine_state& state) {
  int held = 0;
  for (const auto& [id, request] : state.requests) held += request.pieces;
  return held;
}

void RecordLoad(engine_state& state, absl::Time now) {
  state.loads.push_back(MeasureLoad(state, now));
  // The newest sample from before the lag is still in force.
  const absl::Time shown = now - state.settings.load_report_lag;
  while (state.loads.size() > 1 && state.loads[1].time <= shown) {
    state.loads.pop_front();
  }
}

load_sample LaggedLoad(engine_state& state, absl::Time now) {
  if (!FaultIsOn(state.faults, "stale_load")) {
    state.load_is_frozen = false;
    return LoadAsOf(state, now - state.settings.load_report_lag);
  }
  if (!state.load_is_frozen) {
    state.frozen_load = LoadAsOf(state, now - state.settings.load_report_lag);
    state.load_is_frozen = true;
  }
  return state.frozen_load;
}

absl::string_view PhaseName(request_phase phase) {
  constexpr absl::string_view kNames[] = {"queued",   "prefill", "exportable",
                                          "transfer", "ready",   "decode"};
  return kNames[static_cast<int>(phase)];
}

absl::string_view RefusalName(engine_refusal refusal) {
  constexpr absl::string_view kNames[] = {
      "none",        "queue_full",   "no_slot",    "no_pieces",
      "cancelled",   "duplicate",    "wrong_role", "unknown_model",
      "stale_fence", "unknown_order"};
  return kNames[static_cast<int>(refusal)];
}

}  // namespace anvilridge
