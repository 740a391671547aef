#include "dispatch/resumed_admission.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "dispatch/decode_admission.h"
#include "dispatch/engine_candidates.h"

namespace anvilridge {
namespace {

// How long a stream that goes on may wait for an engine that can read it
// quietly: callers give up after a pause of 2 s or more.
constexpr absl::Duration kQuietWait = absl::Seconds(1);

// Returns the engines of this daemon's own: each has as many as the others, or
// shares one when there are fewer than daemons. All find the same parts, so
// that they don't choose alike at the same moment.
std::vector<decode_candidate> OwnReaders(const dispatch_state& state,
                                         std::vector<decode_candidate> engines,
                                         absl::Time now) {
  std::sort(
      engines.begin(), engines.end(), [](const auto& one, const auto& other) {
        return EngineKey(one.upstream->id) < EngineKey(other.upstream->id);
      });
  size_t daemons = 1;
  size_t rank = 0;
  for (const auto& [peer, share] : state.ledger.peers) {
    if (!IsFresh(share, now)) continue;
    ++daemons;
    if (peer < state.name) ++rank;
  }
  std::vector<decode_candidate> own;
  for (size_t i = 0; i < engines.size(); ++i) {
    const bool is_own = engines.size() >= daemons ? i % daemons == rank
                                                  : i == rank % engines.size();
    if (is_own) own.push_back(engines[i]);
  }
  return own;
}

// Picks engines for a stream that goes on: a decode engine of this daemon's own
// that can read what the caller has quietly.
std::optional<engine_promise> PromiseResumed(dispatch_state& state,
                                             const waiting_stream& stream,
                                             absl::Time now) {
  engine_candidates engines =
      Candidates(state, stream.service, {}, kPromisedMemory, now);
  engines.decodes = OwnReaders(state, std::move(engines.decodes), now);
  const auto decode =
      QuietReader(state, engines, stream, stream.generated, now);
  if (!decode) return std::nullopt;
  engine_promise promise;
  promise.decode = *decode;
  const auto prefill =
      ChoosePrefill(engines.prefills, stream.prompt, decode->failure_domain);
  if (prefill) promise.prefill = *engines.prefills[*prefill].upstream;
  return promise;
}

}  // namespace

bool AwaitQuietEngine(dispatch_state& state, waiting_stream& stream,
                      absl::Time now) {
  if (stream.generated <= 0) return false;
  if (const auto promise = PromiseResumed(state, stream, now)) {
    AdmitStream(state, stream, *promise, now);
    return true;
  }
  stream.quiet_by = now + kQuietWait;
  state.resuming.push_back(std::move(stream));
  return true;
}

void AdmitResuming(dispatch_state& state, absl::Time now) {
  for (auto it = state.resuming.begin(); it != state.resuming.end();) {
    const auto promise = PromiseResumed(state, *it, now);
    if (!promise && now < it->quiet_by) {
      ++it;
      continue;
    }
    const waiting_stream stream = std::move(*it);
    it = state.resuming.erase(it);
    if (promise) {
      AdmitStream(state, stream, *promise, now);
    } else {
      AwaitEngines(state, stream, now);
    }
  }
}

}  // namespace anvilridge
