#include "dispatch/stream_end.h"

#include <QJsonObject>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/milliseconds.h"
#include "base/qt_text.h"
#include "dispatch/decode_admission.h"
#include "dispatch/quarantine_control.h"
#include "dispatch/stop_admission.h"
#include "dispatch/stream_demand.h"
#include "dispatch/stream_limits.h"
#include "dispatch/stream_prefill.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

constexpr int kOk = 200;

// Records the pace of the stream, and of one that was cut also its length.
void RecordRun(stream_state& stream) {
  if (!stream.complete) {
    RecordCutOutput(stream.state, stream.request, stream.service,
                    stream.record.events, stream.length);
  }
  RecordTokenTime(stream.state, stream.service, stream.record.events,
                  stream.last_event -
                      (stream.request.received + stream.record.first_event));
}

// Returns whether a decode engine may have run the stream.
bool MayHaveRun(const stream_state& stream) {
  return stream.decodes->InProgress() || stream.decodes->MayHaveRun();
}

// Ends the request and releases its engines, calls and exchange.
void Release(stream_state& stream) {
  if (std::exchange(stream.ended, true)) return;
  dispatch_state& state = stream.state;
  stream.open->Close();
  RemoveFromQueues(state, stream.request.id);
  stream.decodes->Cancel();
  if (stream.prefill) stream.prefill->Cancel();
  ReleaseLease(state, stream.request.id, stream.lease);
  EndRun(state.ledger, stream.request.id);
  stream.relay.Close();
  stream.routed.exchange.reset();
  NotifyLoadChange(state);
  // Admits streams to the released capacity. This runs later from the event
  // loop, because this function may be called while a stream is being
  // admitted.
  RunAfter(state.context, absl::ZeroDuration(),
           [&state] { AdmitWaiting(state, MonotonicNow()); });
}

// Logs the end of the request as `event`, counts it and releases its resources.
void LogAndEnd(stream_state& stream, absl::string_view event, int http_status) {
  const fleet_request& request = stream.request;
  const absl::Duration elapsed = MonotonicNow() - request.received;
  stream.state.metrics->CountRequest(stream.route.name, http_status, elapsed);
  RecordRun(stream);
  QJsonObject fields{
      {"request", QtText(request.id)},
      {"route", QtText(stream.route.name)},
      {"upstream", QtText(stream.decodes->UpstreamId())},
      {"status", http_status},
      {"sends", stream.sends.attempts},
      {"config", static_cast<double>(stream.routed.config->version)},
      {"ms", ToMilliseconds(elapsed)}};
  const QJsonObject record = LogFields(stream.record);
  for (auto field = record.begin(); field != record.end(); ++field) {
    fields[field.key()] = field.value();
  }
  LogEvent(log_level::info, event, fields);
  Release(stream);
}

}  // namespace

void CompleteStream(stream_state& stream) {
  stream.relay.End();
  RecordOutputLength(stream.state, stream.request, stream.service,
                     stream.record.events);
  stream.complete = true;
  LogAndEnd(stream, "request_answered", kOk);
}

void DeliverResponse(stream_state& stream, const http_result& result) {
  stream.routed.exchange->Respond(result.http_status, result.headers,
                                  stream.relay.ErrorBody());
  LogAndEnd(stream, "request_answered", result.http_status);
}

void AbortStream(stream_state& stream, unfinished_reason reason) {
  ReportUnfinished(stream, reason);
  stream.relay.Abort();
  LogAndEnd(stream, "stream_broken", 0);
}

void RefuseStream(stream_state& stream, const absl::Status& error) {
  if (stream.ended) return;
  if (stream.relay.HeadersSent()) {
    return AbortStream(stream, unfinished_reason::upstream_failed);
  }
  absl::Status shown = error;
  if (MayHaveRun(stream) && RunStateOf(error) == run_state::not_run) {
    ReportUnfinished(stream, unfinished_reason::upstream_failed);
    shown = MakeError(error_kind::upstream_failed, error.message(),
                      run_state::unknown);
  }
  const auto exchange = stream.routed.exchange;
  Release(stream);
  RefuseRequest(stream.state, *exchange, stream.request, stream.route.name,
                shown);
}

void ReportUnfinished(stream_state& stream, unfinished_reason reason) {
  unfinished_request unfinished;
  unfinished.reason = reason;
  unfinished.upstream = stream.decodes->UpstreamId();
  unfinished.call_in_progress = stream.decodes->InProgress();
  unfinished.silence = stream.decodes->Silence();
  unfinished.sends = stream.sends.attempts;
  unfinished.events = stream.record.events;
  ReportUnfinished(stream.state, stream.request, stream.route, stream.service,
                   unfinished);
}

absl::Status StoppingStreamError(const stream_state& stream) {
  return StoppingError(stream.state,
                       ResponseDeadline(stream.request, stream.route),
                       MonotonicNow());
}

void EndWithoutEvent(stream_state& stream, unfinished_reason reason) {
  const std::string limit =
      absl::FormatDuration(FirstEventDeadline(stream.request, stream.route) -
                           stream.request.received);
  if (MayHaveRun(stream)) {
    ReportUnfinished(stream, reason);
    return RefuseStream(
        stream,
        MakeError(error_kind::upstream_stalled,
                  absl::StrCat("no event within ", limit), run_state::unknown));
  }
  if (IsPrefillInProgress(stream)) {
    return RefuseStream(
        stream,
        MakeError(error_kind::overloaded,
                  absl::StrCat("no prefill engine answered within ", limit),
                  run_state::not_run, kLostPrefillRetryAfter));
  }
  RefuseStream(
      stream, MakeError(error_kind::overloaded,
                        absl::StrCat("no engine had capacity within ", limit)));
}

void EndForStop(stream_state& stream) {
  if (stream.ended || stream.relay.HeadersSent()) return;
  if (!MayHaveRun(stream)) {
    return RefuseStream(stream, StoppingStreamError(stream));
  }
  ReportUnfinished(stream, unfinished_reason::stop);
  RefuseStream(stream, MakeError(error_kind::upstream_stalled,
                                 "no event before this daemon stops",
                                 run_state::unknown));
}

bool EndIfQuarantined(stream_state& stream) {
  if (stream.ended) return true;
  if (stream.relay.HeadersSent()) return false;
  if (!IsQuarantined(stream.state, engine_stage::decode, stream.request)) {
    return false;
  }
  if (stream.is_trial && !stream.decodes->MayHaveRun()) return false;
  const bool may_have_run = MayHaveRun(stream);
  if (may_have_run) ReportUnfinished(stream, unfinished_reason::quarantined);
  RefuseStream(stream,
               QuarantineError(stream.state, stream.request, may_have_run,
                               stream.route.resumable, MonotonicNow()));
  return true;
}

void EndForLeftCaller(stream_state& stream) {
  if (stream.ended) return;
  LogAndEnd(stream, "caller_left", 0);
}

}  // namespace anvilridge
