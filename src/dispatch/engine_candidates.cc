#include "dispatch/engine_candidates.h"

#include <algorithm>
#include <utility>

namespace anvilridge {
namespace {

// Largest share of the gap target for which a local prefill may pause the
// engine's other streams; the rest is for their own next event.
constexpr double kMaxPauseShare = 0.8;

const engine_traits* FindEngineTraits(const dispatch_state& state,
                                      absl::string_view service) {
  if (!state.view || !state.view->config) return nullptr;
  const auto found = state.view->config->services.find(service);
  return found == state.view->config->services.end() ? nullptr
                                                     : &found->second.engine;
}

// Whether a decode engine can prefill `tokens` without making its other streams
// late, which all pause during the prefill.
bool CanPrefillOnTime(const dispatch_state& state,
                      const decode_candidate& engine, double tokens,
                      absl::Duration gap_target, absl::Time now) {
  if (tokens <= 0 || engine.runs.empty()) return true;
  if (PrefillBacklog(state.ledger, engine.upstream->id, now) > 0) return false;
  return kDecodePrefillCost * PrefillTime(state, tokens) <=
         kMaxPauseShare * gap_target;
}

// Returns how many tokens of prompts the other daemons are expected to have
// sent to `service` that are not known here. They are assumed to send as many
// as this one.
choice_spread PrefillSpread(dispatch_state& state, absl::string_view service,
                            absl::Time now) {
  choice_spread spread;
  spread.draw = absl::Uniform(state.random, 0.0, 1.0);
  const auto sent = state.sent_tokens.find(service);
  if (sent == state.sent_tokens.end()) return spread;
  absl::Duration unheard;
  for (const auto& [name, peer] : state.ledger.peers) {
    if (IsFresh(peer, now)) unheard += UnheardTime(now - peer.received);
  }
  spread.unheard =
      WorkPerSecond(sent->second, now) * absl::ToDoubleSeconds(unheard);
  return spread;
}

}  // namespace

engine_candidates FindEngineCandidates(dispatch_state& state,
                                       absl::string_view service,
                                       const std::vector<std::string>& tried,
                                       double memory_share, absl::Time now) {
  engine_candidates candidates;
  const engine_traits* traits = FindEngineTraits(state, service);
  if (traits == nullptr) return candidates;
  candidates.prefill_spread = PrefillSpread(state, service, now);
  for (const fleet_upstream* upstream :
       UsableUpstreams(state, service, tried, now)) {
    if (upstream->stage == engine_stage::prefill) {
      candidates.prefills.push_back(
          {upstream, PrefillBacklog(state.ledger, upstream->id, now)});
      continue;
    }
    decode_candidate candidate;
    candidate.upstream = upstream;
    candidate.runs = EngineRuns(state.ledger, upstream->id, now);
    candidate.capacity = memory_share * static_cast<double>(traits->kv_tokens);
    candidate.slots = std::min(traits->slots, upstream->slots);
    candidate.same_domain =
        upstream->failure_domain == state.settings.failure_domain;
    candidates.decodes.push_back(std::move(candidate));
  }
  return candidates;
}

decode_run ExpectedRun(const waiting_stream& stream, absl::Time now) {
  return {stream.prompt + stream.generated, stream.output, now};
}

absl::Duration PrefillTime(const dispatch_state& state, double tokens) {
  return absl::Milliseconds(tokens / state.ledger.prefill_tokens_per_ms);
}

std::optional<fleet_upstream> ChooseOnTimeLocalPrefillEngine(
    const dispatch_state& state, const engine_candidates& engines,
    const waiting_stream& stream, double tokens, absl::Time now) {
  std::vector<decode_candidate> on_time;
  for (const decode_candidate& engine : engines.decodes) {
    if (CanPrefillOnTime(state, engine, tokens, stream.gap_target, now)) {
      on_time.push_back(engine);
    }
  }
  const auto chosen = ChooseDecode(on_time, ExpectedRun(stream, now));
  if (!chosen) return std::nullopt;
  return *on_time[*chosen].upstream;
}

}  // namespace anvilridge
