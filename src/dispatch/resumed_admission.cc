#include "dispatch/resumed_admission.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "dispatch/decode_admission.h"
#include "dispatch/engine_candidates.h"

namespace anvilridge {
namespace {

// How long a resumed stream may wait for an engine whose other streams stay on
// time: callers give up after a pause of 2 s or more.
constexpr absl::Duration kMaxResumedWait = absl::Seconds(1);

// Returns those of `engines` that this daemon may use for resumed streams. The
// engines are divided evenly among the daemons; with fewer engines than
// daemons, several daemons share one engine. All daemons compute the same
// division, so that they don't choose the same engine at the same moment.
std::vector<decode_candidate> EnginesOfThisDaemon(
    const dispatch_state& state, std::vector<decode_candidate> engines,
    absl::Time now) {
  std::sort(
      engines.begin(), engines.end(), [](const auto& one, const auto& other) {
        return EngineKey(one.upstream->id) < EngineKey(other.upstream->id);
      });
  size_t daemons = 1;
  size_t rank = 0;
  for (const auto& [name, peer] : state.ledger.peers) {
    if (!IsFresh(peer, now)) continue;
    ++daemons;
    if (name < state.name) ++rank;
  }
  std::vector<decode_candidate> assigned;
  for (size_t i = 0; i < engines.size(); ++i) {
    const bool is_assigned = engines.size() >= daemons
                                 ? i % daemons == rank
                                 : i == rank % engines.size();
    if (is_assigned) assigned.push_back(engines[i]);
  }
  return assigned;
}

// Chooses engines for a resumed stream: one of this daemon's decode engines
// that can prefill the tokens that the caller already has while its other
// streams stay on time. Returns nothing when there is no such engine.
std::optional<engine_reservation> ChooseEnginesForResumed(
    dispatch_state& state, const waiting_stream& stream, absl::Time now) {
  engine_candidates engines = FindEngineCandidates(state, stream.service, {},
                                                   kReservableMemoryShare, now);
  engines.decodes = EnginesOfThisDaemon(state, std::move(engines.decodes), now);
  const auto decode = ChooseOnTimeLocalPrefillEngine(state, engines, stream,
                                                     stream.generated, now);
  if (!decode) return std::nullopt;
  engine_reservation reservation;
  reservation.decode = *decode;
  const auto prefill =
      ChoosePrefill(engines.prefills, stream.prompt, decode->failure_domain,
                    engines.prefill_spread);
  if (prefill) reservation.prefill = *engines.prefills[*prefill].upstream;
  return reservation;
}

}  // namespace

bool AdmitOrQueueResumed(dispatch_state& state, waiting_stream& stream,
                         absl::Time now) {
  if (stream.generated <= 0) return false;
  if (const auto reservation = ChooseEnginesForResumed(state, stream, now)) {
    AdmitStream(state, stream, *reservation, now);
    return true;
  }
  stream.resumed_wait_until = now + kMaxResumedWait;
  state.resuming.push_back(std::move(stream));
  return true;
}

void AdmitResuming(dispatch_state& state, absl::Time now) {
  for (auto it = state.resuming.begin(); it != state.resuming.end();) {
    const auto reservation = ChooseEnginesForResumed(state, *it, now);
    if (!reservation && now < it->resumed_wait_until) {
      ++it;
      continue;
    }
    const waiting_stream stream = std::move(*it);
    it = state.resuming.erase(it);
    if (reservation) {
      AdmitStream(state, stream, *reservation, now);
    } else {
      AdmitOrQueueStream(state, stream, now);
    }
  }
}

}  // namespace anvilridge
