#include "dispatch/engine_candidates.h"

#include <algorithm>
#include <utility>

namespace anvilridge {
namespace {

// Part of the longest pause of streams that are on time which a prompt may take
// beside them; the rest is for their own next event.
constexpr double kPauseShare = 0.8;

const engine_traits* TraitsOf(const dispatch_state& state,
                              absl::string_view service) {
  if (!state.view || !state.view->config) return nullptr;
  const auto found = state.view->config->services.find(service);
  return found == state.view->config->services.end() ? nullptr
                                                     : &found->second.engine;
}

// Whether a decode engine can read `tokens` without making its other streams
// late: they all pause meanwhile.
bool ReadsQuietly(const dispatch_state& state, const decode_candidate& engine,
                  double tokens, absl::Duration gap_target, absl::Time now) {
  if (tokens <= 0 || engine.runs.empty()) return true;
  if (PrefillBacklog(state.ledger, engine.upstream->id, now) > 0) return false;
  return kDecodePrefillCost * PrefillTime(state, tokens) <=
         kPauseShare * gap_target;
}

}  // namespace

engine_candidates Candidates(dispatch_state& state, absl::string_view service,
                             const std::vector<std::string>& tried,
                             double memory, absl::Time now) {
  engine_candidates candidates;
  const engine_traits* traits = TraitsOf(state, service);
  if (traits == nullptr) return candidates;
  for (const fleet_upstream* upstream :
       UsableUpstreams(state, service, tried, now)) {
    if (upstream->stage == engine_stage::prefill) {
      candidates.prefills.push_back(
          {upstream, PrefillBacklog(state.ledger, upstream->id, now),
           absl::Uniform(state.random, 0.0, 1.0)});
      continue;
    }
    decode_candidate candidate;
    candidate.upstream = upstream;
    candidate.runs = RunsAt(state.ledger, upstream->id, now);
    candidate.capacity = memory * static_cast<double>(traits->kv_tokens);
    candidate.slots = std::min(traits->slots, upstream->slots);
    candidate.near = upstream->failure_domain == state.settings.failure_domain;
    candidates.decodes.push_back(std::move(candidate));
  }
  return candidates;
}

decode_run RunOf(const waiting_stream& stream, absl::Time now) {
  return {stream.prompt + stream.generated, stream.output, now};
}

absl::Duration PrefillTime(const dispatch_state& state, double tokens) {
  return absl::Milliseconds(tokens / state.ledger.prefill_tokens_per_ms);
}

std::optional<fleet_upstream> QuietReader(const dispatch_state& state,
                                          const engine_candidates& engines,
                                          const waiting_stream& stream,
                                          double tokens, absl::Time now) {
  std::vector<decode_candidate> quiet;
  for (const decode_candidate& engine : engines.decodes) {
    if (ReadsQuietly(state, engine, tokens, stream.gap_target, now)) {
      quiet.push_back(engine);
    }
  }
  const auto chosen = ChooseDecode(quiet, RunOf(stream, now));
  if (!chosen) return std::nullopt;
  return *quiet[*chosen].upstream;
}

}  // namespace anvilridge
