#include "dispatch/stream_decode.h"

#include <utility>

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/milliseconds.h"
#include "base/qt_text.h"
#include "dispatch/decode_admission.h"
#include "dispatch/quarantine_control.h"
#include "dispatch/send_claim.h"
#include "dispatch/stop_admission.h"
#include "dispatch/stream_end.h"
#include "dispatch/stream_prefill.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// Returns whether the stream can still be begun. One that may have run goes on
// in any case, since its caller can't be told otherwise.
bool MayBegin(const stream_state& stream, absl::Time now) {
  if (stream.relay.HeadersSent() || stream.decodes->MayHaveRun()) return true;
  return MayBeginStream(stream.state, RestOf(stream), stream.admission, now);
}

// Reserves `engine`, which may be reserved already, for the rest of the stream.
void Reserve(stream_state& stream, const fleet_upstream& engine) {
  if (!ReserveEngine(stream.place, engine)) return;
  ReserveDecode(stream.state, stream.request.id, engine, RestOf(stream),
                MonotonicNow());
  NotifyLoadChange(stream.state);
}

// Reserves a decode engine that was not tried yet. Returns false if none has
// capacity.
bool ReserveOtherEngine(stream_state& stream) {
  const absl::Time now = MonotonicNow();
  const auto other = ChooseOtherDecodeEngine(stream.state, RestOf(stream),
                                             stream.decodes->Tried(),
                                             IsUsable(stream.lease, now), now);
  if (other) Reserve(stream, *other);
  return other.has_value();
}

void SendDecode(stream_state& stream);

// Has another decode engine reserved in place of `left`, which has become
// unavailable.
void ReserveAgain(stream_state& stream, const fleet_upstream& left,
                  absl::Time now) {
  if (!EnterQueue(stream.place)) return;
  LogEvent(log_level::info, "reserved_engine_unavailable",
           {{"request", QtText(stream.request.id)},
            {"upstream", QtText(left.id)},
            {"prefilling", IsPrefillInProgress(stream)}});
  EndRun(stream.state.ledger, stream.request.id);
  waiting_stream waiting = RestOf(stream);
  waiting.done = [self = stream.shared_from_this(), queued = now](
                     const absl::StatusOr<engine_reservation>& reservation) {
    if (self->ended) return;
    if (!reservation.ok()) return RefuseStream(*self, reservation.status());
    if (!ReserveEngine(self->place, reservation->decode)) return;
    LogEvent(log_level::info, "reserved_again",
             {{"request", QtText(self->request.id)},
              {"upstream", QtText(reservation->decode.id)},
              {"waited_ms", ToMilliseconds(MonotonicNow() - queued)}});
    SendDecode(*self);
  };
  AdmitOrQueueFirst(stream.state, std::move(waiting), now);
}

// Sends the request to the reserved engine, or to another one if that has
// become unavailable since it was reserved, as a prefill can take long.
void SendDecode(stream_state& stream) {
  if (EndIfQuarantined(stream)) return;
  const absl::Time now = MonotonicNow();
  if (!MayBegin(stream, now)) {
    return RefuseStream(stream, StoppingStreamError(stream));
  }
  const auto engine = ReservedEngine(stream.place);
  if (engine && !IsStillAvailable(stream.state, *engine, now)) {
    return ReserveAgain(stream, *engine, now);
  }
  const auto begun = BeginDecode(stream.place);
  if (begun) stream.decodes->Send(*begun, stream.lease);
}

void OnReservation(stream_state& stream,
                   const absl::StatusOr<engine_reservation>& reservation) {
  const fleet_request& request = stream.request;
  const absl::Duration waited = MonotonicNow() - request.received;
  stream.state.metrics->ObserveWaitTime(waited);
  if (stream.ended) return;
  if (!reservation.ok()) return RefuseStream(stream, reservation.status());
  const fleet_upstream& decode = reservation->decode;
  if (!ReserveEngine(stream.place, decode)) return;
  stream.admission = MonotonicNow();
  LogEvent(log_level::info, "engines_chosen",
           {{"request", QtText(request.id)},
            {"route", QtText(stream.route.name)},
            {"decode", QtText(decode.id)},
            {"prefill",
             QtText(reservation->prefill ? reservation->prefill->id : "")},
            {"prompt", static_cast<double>(request.prompt_tokens)},
            {"output", ExpectedRemaining(stream)},
            {"resume_after", QtText(request.resume_after)},
            {"parts", QtText(PromptPartNames(request.shared_parts))},
            {"waited_ms", ToMilliseconds(waited)}});
  if (reservation->prefill && MayPrefill(stream)) {
    SendPrefill(stream, *reservation->prefill, /*replaces_other=*/false);
  } else {
    SendDecode(stream);
  }
}

// Returns whether the request may be sent to another engine after a decode that
// ended with `outcome`, apart from the budget.
bool MaySendAgain(const stream_state& stream, send_outcome outcome) {
  if (IsQuarantined(stream.state, engine_stage::decode, stream.request)) {
    return false;
  }
  if (stream.relay.HeadersSent() || stream.decodes->MayHaveRun()) {
    return stream.decodes->MayResume();
  }
  // An engine that was not reached counts as no attempt.
  return outcome == send_outcome::unsent ||
         stream.sends.attempts < stream.route.attempts;
}

// After a failed decode, sends the request to its engine once more or to
// another one if that is allowed, and otherwise ends it.
void OnDecodeFailed(stream_state& stream, const broken_send& broken,
                    const http_result& result) {
  EndDecode(stream.place, broken.engine);
  const send_outcome outcome = broken.outcome;
  const bool returns = stream.decodes->MayReturn(broken);
  if (stream.lease.handle.empty()) {
    stream.lease = stream.decodes->TakeLease(returns);
  }
  if (EndIfQuarantined(stream)) return;
  const bool not_run = !stream.decodes->MayHaveRun();
  // The prefill may still be answered.
  if (IsPrefillInProgress(stream) && not_run) return;
  if (returns &&
      !IsQuarantined(stream.state, engine_stage::decode, stream.request) &&
      ClaimSend(stream.state, stream.routed, stream.sends, send_purpose::decode,
                "returned")) {
    Reserve(stream, broken.engine);
    return SendDecode(stream);
  }
  if (MaySendAgain(stream, outcome) && ReserveOtherEngine(stream) &&
      ClaimSend(stream.state, stream.routed, stream.sends, send_purpose::decode,
                SendOutcomeName(outcome))) {
    return SendDecode(stream);
  }
  if (stream.relay.HeadersSent()) {
    return AbortStream(stream, unfinished_reason::upstream_failed);
  }
  if (outcome == send_outcome::answered) return DeliverResponse(stream, result);
  if (not_run) {
    return RefuseStream(
        stream,
        DecodesRefusedError(stream.state, stream.service.name, MonotonicNow()));
  }
  ReportUnfinished(stream, unfinished_reason::upstream_failed);
  RefuseStream(stream, MakeError(error_kind::upstream_failed,
                                 "no complete response from the decode engine",
                                 run_state::unknown));
}

}  // namespace

void AwaitEngines(stream_state& stream) {
  const absl::Time now = MonotonicNow();
  waiting_stream waiting = RestOf(stream);
  if (!MayBeginStream(stream.state, waiting, now, now)) {
    return RefuseStream(stream, StoppingStreamError(stream));
  }
  if (!EnterQueue(stream.place)) return;
  waiting.done = [self = stream.shared_from_this()](
                     const absl::StatusOr<engine_reservation>& reservation) {
    OnReservation(*self, reservation);
  };
  AdmitOrQueueStream(stream.state, std::move(waiting), now);
}

decode_listener MakeDecodeListener(stream_state& stream) {
  decode_listener listener;
  listener.rest = [&stream] { return RestOf(stream); };
  listener.on_accepted = [&stream] {
    if (stream.prefill) stream.prefill->Cancel();
  };
  listener.on_completed = [&stream] { CompleteStream(stream); };
  listener.on_failed = [&stream](const broken_send& broken,
                                 const http_result& result) {
    OnDecodeFailed(stream, broken, result);
  };
  return listener;
}

void SendDecodeAfterPrefill(stream_state& stream) {
  const auto reserved = ReservedEngine(stream.place);
  if (reserved && IsTried(stream, *reserved)) ReserveOtherEngine(stream);
  if (!ClaimSend(stream.state, stream.routed, stream.sends,
                 send_purpose::decode, "refused")) {
    return RefuseStream(stream,
                        MakeError(error_kind::upstream_refused,
                                  "no decode engine accepted the request"));
  }
  SendDecode(stream);
}

void PrefillAtDecode(stream_state& stream) {
  const auto reserved = ReservedEngine(stream.place);
  if (!reserved) return;
  const waiting_stream rest = RestOf(stream);
  EndRun(stream.state.ledger, stream.request.id);
  const auto other = ChooseLocalPrefillEngine(
      stream.state, rest, stream.decodes->Tried(), MonotonicNow());
  Reserve(stream, other.value_or(*reserved));
  SendDecode(stream);
}

void OnFirstEvent(stream_state& stream) {
  const absl::Time now = MonotonicNow();
  const absl::Time received = stream.request.received;
  stream.state.metrics->ObserveFirstEventTime(stream.route.name,
                                              now - received);
  stream.record.first_event = now - received;
  stream.record.decode_first = now - stream.decodes->StartTime();
}

void OnEvent(stream_state& stream) {
  stream_record& record = stream.record;
  const absl::Time now = MonotonicNow();
  const absl::Duration gap =
      now -
      (record.events > 0 ? stream.last_event : stream.decodes->StartTime());
  if (gap > record.longest_gap) {
    record.longest_gap = gap;
    record.longest_gap_end = now - stream.request.received;
  }
  stream.last_event = now;
  stream.decodes->OnEvent();
  ++record.events;
  AdvanceRun(stream.state.ledger, stream.request.id,
             static_cast<double>(stream.request.prompt_tokens) +
                 GeneratedTokens(stream),
             ExpectedRemaining(stream), now);
}

}  // namespace anvilridge
