#include <algorithm>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "engine/engine_steps.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kStallWithoutEnd = absl::Hours(1);

bool CanRun(const engine_state& state, const held_request& request) {
  if (request.phase == request_phase::prefill) return true;
  if (request.phase != request_phase::queued) return false;
  return PiecesHeld(state) + PiecesFor(request.prompt_tokens) <=
         state.settings.pieces;
}

held_request* PickPrefill(engine_state& state) {
  held_request* picked = nullptr;
  const auto rank = [](const held_request& request) {
    return std::make_tuple(-request.priority, request.sequence);
  };
  for (auto& [id, request] : state.requests) {
    if (!CanRun(state, request)) continue;
    if (picked == nullptr || rank(request) < rank(*picked)) picked = &request;
  }
  return picked;
}

void BeginPrefill(engine_state& state, held_request& request) {
  request.phase = request_phase::prefill;
  request.pieces = PiecesFor(request.prompt_tokens);
  const int cached =
      CachedBlocks(state.cache, request.prefix_hashes) * kBlockTokens;
  request.cached_tokens = std::min(cached, request.prompt_tokens - 1);
  request.prefilled_tokens = request.cached_tokens;
}

absl::Duration ChunkTime(const engine_state& state) {
  return absl::Seconds(state.chunk_tokens /
                       state.settings.prefill_tokens_per_second);
}

void FinishPrefill(engine_state& state, held_request& request, absl::Time now) {
  StorePrefix(state.cache, request.prefix_hashes, now);
  request.phase = request_phase::exportable;
  request.evicted_at = now + state.settings.kv_eviction;
  request.kv_handle =
      absl::StrCat("kv-", state.settings.id, "-", request.sequence, "-",
                   absl::Hex(state.cache.random(), absl::kZeroPad16));
}

}  // namespace

void StartChunk(engine_state& state, absl::Time now) {
  if (!state.prefilling.empty()) return;
  held_request* request = PickPrefill(state);
  if (request == nullptr) return;
  absl::Duration stall;
  if (request->phase == request_phase::queued) {
    BeginPrefill(state, *request);
    const auto fault =
        TakeFault(state.faults, "stall_prefill",
                  {{"request_id", QString::fromStdString(request->id)}});
    if (fault) stall = FaultDelay(*fault, kStallWithoutEnd);
  }
  state.prefilling = request->id;
  state.chunk_tokens =
      std::min(state.settings.prefill_chunk_tokens,
               request->prompt_tokens - request->prefilled_tokens);
  state.chunk_ends = now + ChunkTime(state) + stall;
}

void EndChunk(engine_state& state, absl::Time now,
              std::vector<engine_event>& events) {
  held_request& request = state.requests.at(state.prefilling);
  state.prefilling.clear();
  state.chunk_ends = absl::InfiniteFuture();
  request.prefilled_tokens += state.chunk_tokens;
  state.totals.prefilled_tokens += state.chunk_tokens;
  if (request.prefilled_tokens == request.prompt_tokens) {
    FinishPrefill(state, request, now);
    events.push_back({engine_event::kind::prefilled, request.id});
  }
  StartChunk(state, now);
}

}  // namespace anvilridge
