#include "engine/engine_model.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/match.h"
#include "common/token_text.h"
#include "engine/engine_steps.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kTombstoneKept = absl::Seconds(10);

held_request* Find(engine_state& state, absl::string_view id) {
  const auto found = state.requests.find(std::string(id));
  return found == state.requests.end() ? nullptr : &found->second;
}

held_request* FindByHandle(engine_state& state, absl::string_view handle) {
  for (auto& [id, request] : state.requests) {
    if (!request.kv_handle.empty() && request.kv_handle == handle) {
      return &request;
    }
  }
  return nullptr;
}

bool HasTombstone(const engine_state& state, const request_terms& terms) {
  const auto found = state.tombstones.find(terms.request_id);
  return found != state.tombstones.end() && found->second.owner == terms.owner;
}

int CountQueued(const engine_state& state) {
  return static_cast<int>(std::count_if(
      state.requests.begin(), state.requests.end(), [](const auto& entry) {
        return entry.second.phase == request_phase::queued ||
               entry.second.phase == request_phase::prefill;
      }));
}

int PromisedPieces(const engine_state& state) {
  int promised = 0;
  for (const auto& [id, request] : state.requests) {
    promised += request.promised_pieces;
  }
  return promised;
}

// Returns the length of the answer, which the prompt alone decides.
int OutputTokens(uint64_t text_seed, int max_tokens, double share_min) {
  constexpr uint64_t kSteps = 1000;
  const double drawn = static_cast<double>(text_seed % kSteps) / kSteps;
  const double share = share_min + (1 - share_min) * drawn;
  return std::max(1, static_cast<int>(std::lround(max_tokens * share)));
}

held_request MakeRequest(engine_state& state, const request_terms& terms,
                         absl::Time now) {
  held_request request;
  request.id = terms.request_id;
  request.owner = terms.owner;
  request.priority = terms.priority;
  request.sequence = state.next_sequence++;
  request.arrived = now;
  request.max_tokens = std::max(terms.max_tokens, 1);
  request.text_seed =
      TextSeed(state.settings.model, terms.prompt, terms.max_tokens);
  request.output_tokens = OutputTokens(request.text_seed, request.max_tokens,
                                       state.settings.output_share_min);
  request.crashes = !state.settings.crash_on.empty() &&
                    absl::StrContains(terms.prompt, state.settings.crash_on);
  ++state.totals.started[terms.request_id];
  return request;
}

engine_refusal CheckNew(const engine_state& state, const request_terms& terms,
                        absl::string_view role) {
  if (state.settings.role != role) return engine_refusal::wrong_role;
  if (HasTombstone(state, terms)) return engine_refusal::cancelled;
  if (state.requests.count(terms.request_id) > 0) {
    return engine_refusal::duplicate;
  }
  return engine_refusal::none;
}

// Forgets a request and lets others use what it held.
void Release(engine_state& state, const std::string& id, absl::Time now) {
  state.requests.erase(id);
  if (state.prefilling == id) {
    state.prefilling.clear();
    state.chunk_ends = absl::InfiniteFuture();
  }
  StartChunk(state, now);
}

template <typename Map>
absl::Time EarliestForgotten(const Map& kept) {
  absl::Time earliest = absl::InfiniteFuture();
  for (const auto& [id, entry] : kept) {
    earliest = std::min(earliest, entry.forgotten_at);
  }
  return earliest;
}

template <typename Map>
void ForgetOld(Map& kept, absl::Time now) {
  std::erase_if(kept, [now](const auto& entry) {
    return entry.second.forgotten_at <= now;
  });
}

void EvictResult(engine_state& state, const held_request& request,
                 absl::Time now, std::vector<engine_event>& events) {
  ++state.totals.evicted_results;
  state.totals.evicted_tokens += request.prompt_tokens - request.cached_tokens;
  events.push_back({engine_event::kind::evicted, request.id});
  Release(state, std::string(request.id), now);
}

void EndExport(engine_state& state, const held_request& request, absl::Time now,
               std::vector<engine_event>& events) {
  state.totals.exported_tokens += request.prompt_tokens - request.cached_tokens;
  events.push_back({engine_event::kind::exported, request.id});
  Release(state, std::string(request.id), now);
}

// Ends what is due by `now` for results that wait or are being sent.
void EndResults(engine_state& state, absl::Time now,
                std::vector<engine_event>& events) {
  std::vector<std::string> ids;
  for (const auto& [id, request] : state.requests) ids.push_back(id);
  for (const std::string& id : ids) {
    const held_request& request = state.requests.at(id);
    if (request.exported_at <= now) {
      EndExport(state, request, now, events);
    } else if (request.phase == request_phase::exportable &&
               request.evicted_at <= now) {
      EvictResult(state, request, now, events);
    }
  }
}

void ApplyLoads(engine_state& state, absl::Time now) {
  for (const pending_load& load : state.loading) {
    if (load.done_at > now) continue;
    state.settings.model = load.order.model;
    state.settings.version = load.order.version;
  }
  std::erase_if(state.loading, [now](const pending_load& load) {
    return load.done_at <= now;
  });
}

}  // namespace

engine_state MakeEngine(const engine_settings& settings) {
  engine_state state;
  state.settings = settings;
  state.faults.known = {
      "close_after_read",  "error_500",     "late_answer",    "refuse_prefill",
      "refuse_import",     "stall_prefill", "stall_transfer", "stall_decode",
      "drop_stream_after", "lose_cancel",   "stale_load",     "wrong_id"};
  state.faults.random.seed(settings.seed);
  state.cache.random.seed(settings.seed + 1);
  state.cache.capacity_blocks = settings.cache_pieces / kBlockPieces;
  state.cache.event_lag = settings.cache_event_lag;
  state.cache.event_loss = settings.cache_event_loss;
  return state;
}

absl::Time NextWake(const engine_state& state) {
  absl::Time next = std::min(state.chunk_ends, state.batch_ends);
  for (const auto& [id, request] : state.requests) {
    next = std::min(next, request.exported_at);
    if (request.phase == request_phase::exportable) {
      next = std::min(next, request.evicted_at);
    }
  }
  for (const pending_load& load : state.loading) {
    next = std::min(next, load.done_at);
  }
  next = std::min(next, EarliestForgotten(state.finished));
  return std::min(next, EarliestForgotten(state.tombstones));
}

std::vector<engine_event> Advance(engine_state& state, absl::Time now) {
  std::vector<engine_event> events;
  for (absl::Time at = NextWake(state); at <= now; at = NextWake(state)) {
    if (state.chunk_ends <= at) EndChunk(state, at, events);
    if (state.batch_ends <= at) EndBatch(state, at, events);
    EndResults(state, at, events);
    ApplyLoads(state, at);
    ForgetOld(state.finished, at);
    ForgetOld(state.tombstones, at);
    RecordLoad(state, at);
  }
  return events;
}

engine_refusal StartPrefill(engine_state& state, const request_terms& terms,
                            absl::Time now) {
  const engine_refusal refusal = CheckNew(state, terms, "prefill");
  if (refusal != engine_refusal::none) return refusal;
  if (terms.model != state.settings.model) return engine_refusal::unknown_model;
  if (CountQueued(state) >= state.settings.max_queued) {
    return engine_refusal::queue_full;
  }
  held_request request = MakeRequest(state, terms, now);
  const int characters = static_cast<int>(terms.prompt.size());
  request.prompt_tokens = std::max(1, (characters + kCharactersPerToken - 1) /
                                          kCharactersPerToken) +
                          terms.generated_tokens;
  if (PiecesFor(request.prompt_tokens) > state.settings.pieces) {
    return engine_refusal::no_pieces;
  }
  request.prefix_hashes = PrefixHashes(terms.prompt);
  state.requests[request.id] = std::move(request);
  StartChunk(state, now);
  RecordLoad(state, now);
  return engine_refusal::none;
}

engine_refusal BeginImport(engine_state& state, const request_terms& terms,
                           absl::Time now) {
  const engine_refusal refusal = CheckNew(state, terms, "decode");
  if (refusal != engine_refusal::none) return refusal;
  if (static_cast<int>(state.requests.size()) >= state.settings.slots) {
    return engine_refusal::no_slot;
  }
  const int prompt_tokens = terms.prompt_tokens - terms.generated_tokens;
  const int promised =
      std::max(terms.pieces, PiecesFor(prompt_tokens + terms.max_tokens));
  if (PromisedPieces(state) + promised > state.settings.pieces) {
    return engine_refusal::no_pieces;
  }
  held_request request = MakeRequest(state, terms, now);
  request.phase = request_phase::transfer;
  request.prompt_tokens = prompt_tokens;
  request.generated = terms.generated_tokens;
  request.pieces = terms.pieces;
  request.promised_pieces = promised;
  state.requests[request.id] = std::move(request);
  RecordLoad(state, now);
  return engine_refusal::none;
}

void FinishImport(engine_state& state, absl::string_view request_id,
                  absl::Time now) {
  held_request* request = Find(state, request_id);
  if (request == nullptr) return;
  request->phase = request_phase::ready;
  // Until then the result is at the prefill engine, which counts its loss.
  request->prefilled_tokens = request->prompt_tokens + request->generated;
  RecordLoad(state, now);
}

void DropRequest(engine_state& state, absl::string_view request_id,
                 absl::Time now) {
  Release(state, std::string(request_id), now);
  RecordLoad(state, now);
}

const held_request* BeginExport(engine_state& state, absl::string_view handle,
                                const std::string& domain, absl::Time now) {
  held_request* request = FindByHandle(state, handle);
  if (request == nullptr || request->phase != request_phase::exportable) {
    return nullptr;
  }
  const engine_settings& settings = state.settings;
  const bool local = domain.empty() || domain == settings.failure_domain;
  const double rate = local ? settings.transfer_pieces_per_second
                            : settings.cross_domain_pieces_per_second;
  absl::Time& free_at = (*state.link_free_at)[domain];
  const absl::Time turn = std::max(free_at, now);
  if (turn >= request->evicted_at) return nullptr;
  free_at = turn + absl::Seconds(request->pieces / rate);
  request->phase = request_phase::transfer;
  const auto stall =
      TakeFault(state.faults, "stall_transfer",
                {{"request_id", QString::fromStdString(request->id)}});
  const absl::Duration extra =
      stall ? FaultDelay(*stall, absl::Hours(1)) : absl::ZeroDuration();
  request->exported_at = free_at + extra;
  RecordLoad(state, now);
  return request;
}

void AbandonExport(engine_state& state, absl::string_view handle,
                   absl::Time now) {
  held_request* request = FindByHandle(state, handle);
  if (request == nullptr || request->phase != request_phase::transfer) return;
  request->phase = request_phase::exportable;
  request->exported_at = absl::InfiniteFuture();
  RecordLoad(state, now);
}

bool MayDecode(const engine_state& state, absl::string_view request_id,
               absl::string_view owner) {
  const auto held = state.requests.find(std::string(request_id));
  return held == state.requests.end() || held->second.owner == owner;
}

std::optional<stream_source> FindStream(const engine_state& state,
                                        absl::string_view request_id) {
  const std::string id(request_id);
  const auto held = state.requests.find(id);
  if (held != state.requests.end()) {
    const held_request& request = held->second;
    if (request.phase != request_phase::decode) return std::nullopt;
    return stream_source{request.text_seed, request.generated, false};
  }
  const auto done = state.finished.find(id);
  if (done == state.finished.end()) return std::nullopt;
  return stream_source{done->second.text_seed, done->second.generated, true};
}

std::optional<stream_source> StartDecode(engine_state& state,
                                         absl::string_view request_id,
                                         absl::Time now) {
  held_request* request = Find(state, request_id);
  if (request != nullptr && request->phase == request_phase::ready) {
    request->phase = request_phase::decode;
    const bool complete = request->generated >= request->output_tokens;
    if (complete) FinishDecode(state, *request, now);
    StartBatch(state, now);
    RecordLoad(state, now);
  }
  return FindStream(state, request_id);
}

void SetAttached(engine_state& state, absl::string_view request_id,
                 bool attached) {
  held_request* request = Find(state, request_id);
  if (request != nullptr) request->attached = attached;
}

bool CancelRequest(engine_state& state, absl::string_view request_id,
                   absl::string_view owner, absl::Time now) {
  const held_request* request = Find(state, request_id);
  if (request == nullptr) {
    state.tombstones[std::string(request_id)] = {std::string(owner),
                                                 now + kTombstoneKept};
    return false;
  }
  if (request->owner != owner) return false;
  if (request->generated == 0) {
    state.totals.cancelled_tokens +=
        request->prefilled_tokens - request->cached_tokens;
  }
  DropRequest(state, request_id, now);
  return true;
}

adopt_result AdoptRequest(engine_state& state, absl::string_view request_id,
                          absl::string_view owner,
                          absl::string_view new_owner) {
  held_request* request = Find(state, request_id);
  if (request == nullptr) return adopt_result::unknown;
  if (request->owner != owner && request->owner != new_owner) {
    return adopt_result::not_owner;
  }
  request->owner = std::string(new_owner);
  return adopt_result::adopted;
}

engine_refusal TakeOrder(engine_state& state, const engine_order& order,
                         absl::Time now) {
  if (state.settings.checks_fencing && order.fence < state.highest_fence) {
    return engine_refusal::stale_fence;
  }
  if (order.order == "load") {
    state.loading.push_back({order, now + state.settings.model_load});
  } else if (order.order == "role") {
    state.settings.role = order.role;
  } else if (order.order != "unload") {
    return engine_refusal::unknown_order;
  }
  state.highest_fence = std::max(state.highest_fence, order.fence);
  state.orders.push_back(order);
  return engine_refusal::none;
}

}  // namespace anvilridge
