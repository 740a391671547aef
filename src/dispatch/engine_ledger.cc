#include "dispatch/engine_ledger.h"

#include <xxhash.h>

#include <algorithm>

namespace anvilridge {
namespace {

// Weight of a new sample in the moving average of a speed.
constexpr double kSpeedUpdateWeight = 0.05;
// Bounds on speed samples: from the slowest hardware in use to several times
// the fastest.
constexpr double kMinDecodeTokensPerMs = 0.05;
constexpr double kMaxDecodeTokensPerMs = 10;
constexpr double kMinPrefillTokensPerMs = 2;
constexpr double kMaxPrefillTokensPerMs = 500;

// Largest factor by which a sample of the prefill speed may differ from the
// average; samples are clamped to it. An engine that still has a prompt in its
// cache responds at once, as if it prefilled at a much higher speed.
constexpr double kMaxPrefillSpeedRatio = 1.25;

void UpdateSpeed(double& speed, double tokens, absl::Duration took,
                 double least, double most) {
  const double ms = absl::ToDoubleMilliseconds(took);
  if (ms <= 0 || tokens <= 0) return;
  speed += kSpeedUpdateWeight * (std::clamp(tokens / ms, least, most) - speed);
}

}  // namespace

bool IsFresh(const peer_load& peer, absl::Time now) {
  return now - peer.received < kPeerLoadLifetime;
}

uint32_t EngineKey(absl::string_view engine_id) {
  return XXH32(engine_id.data(), engine_id.size(), 0);
}

void ReserveRun(engine_ledger& ledger, absl::string_view request_id,
                absl::string_view engine_id, double prompt, double output,
                absl::Time now) {
  ledger.runs[std::string(request_id)] = {EngineKey(engine_id),
                                          {prompt, output, now}};
}

void SetTokensToPrefill(engine_ledger& ledger, absl::string_view request_id,
                        double tokens) {
  const auto found = ledger.runs.find(request_id);
  if (found != ledger.runs.end()) found->second.tokens_to_prefill = tokens;
}

void AdvanceRun(engine_ledger& ledger, absl::string_view request_id,
                double context, double remaining, absl::Time now) {
  const auto found = ledger.runs.find(request_id);
  if (found == ledger.runs.end()) return;
  found->second.run = {context, remaining, now};
  found->second.tokens_to_prefill = 0;
}

void EndRun(engine_ledger& ledger, absl::string_view request_id) {
  const auto found = ledger.runs.find(request_id);
  if (found != ledger.runs.end()) ledger.runs.erase(found);
}

void BeginPrefill(engine_ledger& ledger, absl::string_view request_id,
                  absl::string_view engine_id, double tokens) {
  ledger.prefills[std::string(request_id)] = {EngineKey(engine_id), tokens};
}

void EndPrefill(engine_ledger& ledger, absl::string_view request_id) {
  const auto found = ledger.prefills.find(request_id);
  if (found != ledger.prefills.end()) ledger.prefills.erase(found);
}

void UpdateDecodeSpeed(engine_ledger& ledger, double tokens,
                       absl::Duration took) {
  UpdateSpeed(ledger.tokens_per_ms, tokens, took, kMinDecodeTokensPerMs,
              kMaxDecodeTokensPerMs);
}

void UpdatePrefillSpeed(engine_ledger& ledger, double tokens,
                        absl::Duration took) {
  const double average = ledger.prefill_tokens_per_ms;
  UpdateSpeed(
      ledger.prefill_tokens_per_ms, tokens, took,
      std::max(kMinPrefillTokensPerMs, average / kMaxPrefillSpeedRatio),
      std::min(kMaxPrefillTokensPerMs, average * kMaxPrefillSpeedRatio));
}

std::vector<decode_run> EngineRuns(const engine_ledger& ledger,
                                   absl::string_view engine_id,
                                   absl::Time now) {
  const uint32_t key = EngineKey(engine_id);
  std::vector<decode_run> runs;
  for (const auto& [id, own] : ledger.runs) {
    if (own.engine == key) {
      runs.push_back(ExtrapolateRun(own.run, now, ledger.tokens_per_ms));
    }
  }
  for (const auto& [name, peer] : ledger.peers) {
    if (!IsFresh(peer, now)) continue;
    const auto found = peer.load.engines.find(key);
    if (found == peer.load.engines.end()) continue;
    for (const decode_run& run : found->second.runs) {
      runs.push_back(ExtrapolateRun(run, now, ledger.tokens_per_ms));
    }
  }
  return runs;
}

double PrefillBacklog(const engine_ledger& ledger, absl::string_view engine_id,
                      absl::Time now) {
  const uint32_t key = EngineKey(engine_id);
  double tokens = 0;
  for (const auto& [id, own] : ledger.prefills) {
    if (own.engine == key) tokens += own.tokens;
  }
  for (const auto& [id, own] : ledger.runs) {
    if (own.engine == key) tokens += own.tokens_to_prefill;
  }
  for (const auto& [name, peer] : ledger.peers) {
    if (!IsFresh(peer, now)) continue;
    const auto found = peer.load.engines.find(key);
    if (found == peer.load.engines.end()) continue;
    const double prefilled = absl::ToDoubleMilliseconds(now - peer.received) *
                             ledger.prefill_tokens_per_ms;
    tokens += std::max(0.0, found->second.prefill_tokens - prefilled);
  }
  return tokens;
}

int StreamsWaitingAtPeers(const engine_ledger& ledger, absl::Time now) {
  int waiting = 0;
  for (const auto& [name, peer] : ledger.peers) {
    if (IsFresh(peer, now)) waiting += peer.load.waiting;
  }
  return waiting;
}

std::vector<waiting_daemon> WaitingDaemons(const engine_ledger& ledger,
                                           bool late, absl::Time now) {
  std::vector<waiting_daemon> daemons;
  for (const auto& [name, peer] : ledger.peers) {
    const int streams = late ? peer.load.late : peer.load.waiting;
    if (IsFresh(peer, now) && streams > 0) {
      daemons.push_back({name, streams});
    }
  }
  return daemons;
}

daemon_load OwnLoad(const engine_ledger& ledger, absl::Time now) {
  daemon_load load;
  for (const auto& [id, own] : ledger.runs) {
    engine_usage& engine = load.engines[own.engine];
    engine.runs.push_back(ExtrapolateRun(own.run, now, ledger.tokens_per_ms));
    engine.prefill_tokens += own.tokens_to_prefill;
  }
  for (const auto& [id, own] : ledger.prefills) {
    load.engines[own.engine].prefill_tokens += own.tokens;
  }
  return load;
}

}  // namespace anvilridge
