#include "dispatch/stream_state.h"

#include <utility>

#include "absl/algorithm/container.h"
#include "dispatch/stream_decode.h"
#include "dispatch/stream_size.h"

namespace anvilridge {
namespace {

// Returns the number of events that the caller has received, including those
// from before it resumed the stream.
int EventsOf(const stream_state& stream) {
  return stream.events_before_resume + stream.record.events;
}

}  // namespace

stream_state::stream_state(dispatch_state& shared, routed_request served)
    : state(shared),
      routed(std::move(served)),
      request(routed.request),
      route(*routed.route),
      service(*routed.service),
      relay(
          routed.exchange, request.resume_after,
          [this] { OnFirstEvent(*this); }, [this] { OnEvent(*this); }) {}

waiting_stream RestOf(const stream_state& stream) {
  return MakeWaitingStream(stream.state, stream.routed, stream.length,
                           EventsOf(stream));
}

double GeneratedTokens(const stream_state& stream) {
  return TokensOf(stream.routed, EventsOf(stream));
}

double ExpectedRemaining(const stream_state& stream) {
  return ExpectedTokens(stream.routed, stream.length, GeneratedTokens(stream));
}

bool IsPrefillInProgress(const stream_state& stream) {
  return stream.prefill && stream.prefill->InProgress() > 0;
}

bool IsTried(const stream_state& stream, const fleet_upstream& decode) {
  return absl::c_linear_search(stream.decodes->Tried(), decode.id);
}

void NotifyLoadChange(const dispatch_state& state) {
  if (state.on_ledger_change) state.on_ledger_change();
}

}  // namespace anvilridge
