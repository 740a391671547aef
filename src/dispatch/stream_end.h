#ifndef ANVILRIDGE_DISPATCH_STREAM_END_H_
#define ANVILRIDGE_DISPATCH_STREAM_END_H_

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "dispatch/stream_state.h"
#include "dispatch/unfinished_request.h"

namespace anvilridge {

/// Ends a stream that was passed on to its end.
void CompleteStream(stream_state& stream);

/// Ends a stream with the response of the engine that `result` is of.
void DeliverResponse(stream_state& stream, const http_result& result);

/// Breaks a stream off whose caller has received events.
void AbortStream(stream_state& stream, unfinished_reason reason);

/// Ends a stream with `error`, which its caller gets. Breaks it off if its
/// caller has received events, and doesn't say that it was not run if it may
/// have been. Does nothing if it has ended.
void RefuseStream(stream_state& stream, const absl::Status& error);

/// Logs and counts that a stream ends without a whole answer.
void ReportUnfinished(stream_state& stream, unfinished_reason reason);

/// Returns the error with which a stream is refused in a stop.
absl::Status StoppingStreamError(const stream_state& stream);

/// Ends a stream without a first event because of `reason`: its caller does not
/// wait any longer, or its time is over.
void EndWithoutEvent(stream_state& stream, unfinished_reason reason);

/// Ends a stream without a first event because this daemon stops.
void EndForStop(stream_state& stream);

/// Ends a stream, unless the caller has received events, if engines crash on a
/// part of its prompt. A trial is sent to one decode engine.
/// @return whether it has ended.
bool EndIfQuarantined(stream_state& stream);

/// Ends a stream whose caller has left.
void EndForLeftCaller(stream_state& stream);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_END_H_
