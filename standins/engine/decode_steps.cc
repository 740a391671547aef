#include <algorithm>
#include <cstdlib>

#include "engine/engine_steps.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kStallWithoutEnd = absl::Hours(1);
// Exit code of an engine that crashes.
constexpr int kCrashed = 70;
constexpr absl::Duration kFinishedKept = absl::Seconds(60);

// Joins the batch unless a fault holds the request back.
bool Joins(engine_state& state, held_request& request, absl::Time now) {
  if (request.phase != request_phase::decode) return false;
  if (request.stalled_until > now) return false;
  const auto fault =
      TakeFault(state.faults, "stall_decode",
                {{"request_id", QString::fromStdString(request.id)}});
  if (!fault) return true;
  request.stalled_until = now + FaultDelay(*fault, kStallWithoutEnd);
  return false;
}

absl::Duration StepTime(const engine_state& state) {
  const double others = static_cast<double>(state.batch.size()) - 1;
  return state.settings.token_interval *
         (1 + state.settings.interval_growth * others);
}

void MakeToken(engine_state& state, const std::string& id, absl::Time now,
               std::vector<engine_event>& events) {
  const auto found = state.requests.find(id);
  if (found == state.requests.end()) return;
  held_request& request = found->second;
  if (request.phase != request_phase::decode) return;
  if (request.crashes) std::_Exit(kCrashed);
  ++request.generated;
  ++state.totals.generated_tokens;
  request.pieces = std::max(
      request.pieces, PiecesFor(request.prompt_tokens + request.generated));
  events.push_back({engine_event::kind::token, id});
  if (request.generated < request.output_tokens) return;
  FinishDecode(state, request, now);
  events.push_back({engine_event::kind::finished, id});
}

}  // namespace

void FinishDecode(engine_state& state, const held_request& request,
                  absl::Time now) {
  state.finished[request.id] = {request.owner, request.generated,
                                request.text_seed, now + kFinishedKept};
  ++state.totals.finished_requests;
  state.requests.erase(std::string(request.id));
}

void StartBatch(engine_state& state, absl::Time now) {
  if (!state.batch.empty()) return;
  state.batch_ends = absl::InfiniteFuture();
  absl::Time stall_ends = absl::InfiniteFuture();
  for (auto& [id, request] : state.requests) {
    if (Joins(state, request, now)) state.batch.push_back(id);
    if (request.stalled_until > now) {
      stall_ends = std::min(stall_ends, request.stalled_until);
    }
  }
  state.batch_ends = state.batch.empty() ? stall_ends : now + StepTime(state);
}

void EndBatch(engine_state& state, absl::Time now,
              std::vector<engine_event>& events) {
  for (const std::string& id : state.batch) MakeToken(state, id, now, events);
  state.batch.clear();
  StartBatch(state, now);
}

}  // namespace anvilridge
