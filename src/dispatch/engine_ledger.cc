#include "dispatch/engine_ledger.h"

#include <xxhash.h>

#include <algorithm>

namespace anvilridge {
namespace {

// Weight of one new measurement of a speed.
constexpr double kLearnWeight = 0.05;
// Bounds on what is believed of speeds, in tokens per ms: from the slowest
// hardware in use to several times the fastest.
constexpr double kSlowestDecode = 0.05;
constexpr double kFastestDecode = 10;
constexpr double kSlowestPrefill = 2;
constexpr double kFastestPrefill = 500;

// What differs from the known prefill speed by more than this factor counts as
// if it were this: a prompt that an engine has kept seems to be read at once.
constexpr double kPrefillOutlier = 1.25;

void Learn(double& speed, double tokens, absl::Duration took, double least,
           double most) {
  const double ms = absl::ToDoubleMilliseconds(took);
  if (ms <= 0 || tokens <= 0) return;
  speed += kLearnWeight * (std::clamp(tokens / ms, least, most) - speed);
}

}  // namespace

bool IsFresh(const peer_share& share, absl::Time now) {
  return now - share.heard < kPeerShareLife;
}

uint32_t EngineKey(absl::string_view engine_id) {
  return XXH32(engine_id.data(), engine_id.size(), 0);
}

void PromiseRun(engine_ledger& ledger, absl::string_view request_id,
                absl::string_view engine_id, double prompt, double output,
                absl::Time now) {
  ledger.runs[std::string(request_id)] = {EngineKey(engine_id),
                                          {prompt, output, now}};
}

void ExpectReading(engine_ledger& ledger, absl::string_view request_id,
                   double tokens) {
  const auto found = ledger.runs.find(request_id);
  if (found != ledger.runs.end()) found->second.to_read = tokens;
}

void AdvanceRun(engine_ledger& ledger, absl::string_view request_id,
                double context, double remaining, absl::Time now) {
  const auto found = ledger.runs.find(request_id);
  if (found == ledger.runs.end()) return;
  found->second.run = {context, remaining, now};
  found->second.to_read = 0;
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

void LearnDecodeSpeed(engine_ledger& ledger, double tokens,
                      absl::Duration took) {
  Learn(ledger.tokens_per_ms, tokens, took, kSlowestDecode, kFastestDecode);
}

void LearnPrefillSpeed(engine_ledger& ledger, double tokens,
                       absl::Duration took) {
  const double known = ledger.prefill_tokens_per_ms;
  Learn(ledger.prefill_tokens_per_ms, tokens, took,
        std::max(kSlowestPrefill, known / kPrefillOutlier),
        std::min(kFastestPrefill, known * kPrefillOutlier));
}

std::vector<decode_run> RunsAt(const engine_ledger& ledger,
                               absl::string_view engine_id, absl::Time now) {
  const uint32_t key = EngineKey(engine_id);
  std::vector<decode_run> runs;
  for (const auto& [id, own] : ledger.runs) {
    if (own.engine == key) {
      runs.push_back(RunAt(own.run, now, ledger.tokens_per_ms));
    }
  }
  for (const auto& [peer, share] : ledger.peers) {
    if (!IsFresh(share, now)) continue;
    const auto found = share.share.engines.find(key);
    if (found == share.share.engines.end()) continue;
    for (const decode_run& run : found->second.runs) {
      runs.push_back(RunAt(run, now, ledger.tokens_per_ms));
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
    if (own.engine == key) tokens += own.to_read;
  }
  for (const auto& [peer, share] : ledger.peers) {
    if (!IsFresh(share, now)) continue;
    const auto found = share.share.engines.find(key);
    if (found == share.share.engines.end()) continue;
    const double read = absl::ToDoubleMilliseconds(now - share.heard) *
                        ledger.prefill_tokens_per_ms;
    tokens += std::max(0.0, found->second.prefill_tokens - read);
  }
  return tokens;
}

int PeersWaiting(const engine_ledger& ledger, absl::Time now) {
  int waiting = 0;
  for (const auto& [peer, share] : ledger.peers) {
    if (IsFresh(share, now)) waiting += share.share.waiting;
  }
  return waiting;
}

std::vector<room_contender> Contenders(const engine_ledger& ledger, bool late,
                                       absl::Time now) {
  std::vector<room_contender> contenders;
  for (const auto& [peer, share] : ledger.peers) {
    const int streams = late ? share.share.late : share.share.waiting;
    if (IsFresh(share, now) && streams > 0) {
      contenders.push_back({peer, streams});
    }
  }
  return contenders;
}

load_share OwnShare(const engine_ledger& ledger, absl::Time now) {
  load_share share;
  for (const auto& [id, own] : ledger.runs) {
    engine_share& engine = share.engines[own.engine];
    engine.runs.push_back(RunAt(own.run, now, ledger.tokens_per_ms));
    engine.prefill_tokens += own.to_read;
  }
  for (const auto& [id, own] : ledger.prefills) {
    share.engines[own.engine].prefill_tokens += own.tokens;
  }
  return share;
}

}  // namespace anvilridge
