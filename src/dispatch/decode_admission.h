#ifndef ANVILRIDGE_DISPATCH_DECODE_ADMISSION_H_
#define ANVILRIDGE_DISPATCH_DECODE_ADMISSION_H_

#include "absl/strings/string_view.h"
#include "dispatch/dispatch_state.h"

namespace anvilridge {

/// Part of an engine's KV memory that is promised: the rest takes up estimates
/// of lengths that are too low and promises that cross.
inline constexpr double kPromisedMemory = 0.95;

/// Part that is promised to streams which can't be on time any more: the rest
/// is for those that come and still can.
inline constexpr double kLateMemory = 0.85;

/// Queues a stream for decode memory. Admits it at once if there is room and
/// nobody waits; lets it wait behind the others if it can't be on time; refuses
/// it at once if it is not expected to begin before its caller gives up. Its
/// callback may be called from here.
void AwaitEngines(dispatch_state& state, waiting_stream stream, absl::Time now);

/// Promises engines to a stream that is in no queue any more, and calls it
/// back.
void AdmitStream(dispatch_state& state, const waiting_stream& stream,
                 const engine_promise& promise, absl::Time now);

/// Takes a stream out of the queue, if it is there; its callback isn't called.
void LeaveQueue(dispatch_state& state, absl::string_view request_id);

/// Admits who fits by now, and refuses who can't be served any more.
void AdmitWaiting(dispatch_state& state, absl::Time now);

/// Picks a decode engine that reads the prompt of `stream` itself: if possible
/// one whose other streams stay on time; nothing when there is no room.
/// @param tried ids of decode engines that are not to be used.
std::optional<fleet_upstream> PromiseReader(
    dispatch_state& state, const waiting_stream& stream,
    const std::vector<std::string>& tried, absl::Time now);

/// Picks the engine that reads a prompt of `tokens` first, other than those in
/// `tried`; nothing when there is none.
std::optional<fleet_upstream> PromisePrefill(
    dispatch_state& state, absl::string_view service, double tokens,
    absl::string_view decode_domain, const std::vector<std::string>& tried,
    absl::Time now);

/// Returns how long `stream` is expected to wait when `ahead` others are before
/// it; infinite when no engine can ever take it.
absl::Duration ForecastWait(dispatch_state& state, const waiting_stream& stream,
                            size_t ahead, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DECODE_ADMISSION_H_
