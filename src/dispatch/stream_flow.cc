#include "dispatch/stream_flow.h"

#include <functional>
#include <memory>
#include <utility>

#include "absl/strings/numbers.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "dispatch/decode_admission.h"
#include "dispatch/quarantine_control.h"
#include "dispatch/stream_decode.h"
#include "dispatch/stream_demand.h"
#include "dispatch/stream_end.h"
#include "dispatch/stream_limits.h"
#include "dispatch/stream_state.h"

namespace anvilridge {
namespace {

// Ends a stream without a first event because its caller does not wait any
// longer. A stream that has begun goes on: its caller can't be told anything
// more, and the next event may still arrive in time.
void OnFirstEventDeadline(stream_state& stream) {
  if (stream.ended || stream.relay.HeadersSent()) return;
  const bool has_time_left = FirstEventDeadline(stream.request, stream.route) <
                             ResponseDeadline(stream.request, stream.route);
  EndWithoutEvent(stream, has_time_left ? unfinished_reason::caller_patience
                                        : unfinished_reason::time_limit);
}

void OnTimeout(stream_state& stream) {
  if (stream.ended) return;
  if (!stream.relay.HeadersSent()) return OnFirstEventDeadline(stream);
  AbortStream(stream, unfinished_reason::time_limit);
}

// Returns a callback that calls `event` with `stream` if that is still alive.
template <typename T>
std::function<void()> IfAlive(stream_state& stream, T event) {
  return [weak = stream.weak_from_this(), event] {
    if (const stream_ptr alive = weak.lock()) event(*alive);
  };
}

// Enters the stream among the open requests, and sets its time limits.
void Open(stream_state& stream) {
  const fleet_request& request = stream.request;
  const fleet_route& route = stream.route;
  const absl::Time now = MonotonicNow();
  stream.open.emplace(
      stream.state.open_requests,
      open_request{request.id, route.name, /*streams=*/true, request.received,
                   ResponseDeadline(request, route),
                   IfAlive(stream, EndForStop),
                   IfAlive(stream, EndIfQuarantined)});
  stream.routed.exchange->OnClosed(
      [self = stream.shared_from_this()] { EndForLeftCaller(*self); });
  RunAfter(stream.state.context, FirstEventDeadline(request, route) - now,
           IfAlive(stream, OnFirstEventDeadline));
  RunAfter(stream.state.context, ResponseDeadline(request, route) - now,
           IfAlive(stream, OnTimeout));
}

void Start(stream_state& stream) {
  dispatch_state& state = stream.state;
  const fleet_request& request = stream.request;
  const fleet_service& service = stream.service;
  // Event ids count from 1, so the id is the number of events that the caller
  // has received. Ids that aren't numbers are ignored.
  if (!absl::SimpleAtoi(request.resume_after, &stream.events_before_resume)) {
    stream.events_before_resume = 0;
  }
  const absl::Time now = MonotonicNow();
  RecordRequest(state.budget, service.name, state.settings.budget, now);
  stream.length = EstimateLength(
      state.lengths[service.name], static_cast<double>(request.output_estimate),
      static_cast<double>(request.max_output_tokens));
  RecordDemand(state, request, service, ExpectedRemaining(stream));
  stream.decodes.emplace(state, stream.routed, stream.sends, stream.relay,
                         stream.weak_from_this(), MakeDecodeListener(stream));
  Open(stream);
  stream.is_trial = BeginTrial(state, engine_stage::decode, request, now);
  if (EndIfQuarantined(stream)) return;
  const absl::Status servable = CheckServable(state, request, service, now);
  if (!servable.ok()) return RefuseStream(stream, servable);
  AwaitEngines(stream);
}

}  // namespace

void StartStream(dispatch_state& state, routed_request routed) {
  Start(*std::make_shared<stream_state>(state, std::move(routed)));
}

}  // namespace anvilridge
