#ifndef ANVILRIDGE_DISPATCH_STOP_ADMISSION_H_
#define ANVILRIDGE_DISPATCH_STOP_ADMISSION_H_

#include <optional>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "dispatch/dispatch_state.h"

namespace anvilridge {

/// Returns whether this daemon is stopping.
bool IsStopping(const dispatch_state& state);

/// Returns the longest time that a call on `route` is expected to take;
/// infinite if few have ended lately. Calls that failed or were given up count,
/// and so do those in progress.
absl::Duration LongestCall(const dispatch_state& state, absl::string_view route,
                           absl::Time now);

/// Returns the shortest time that a call on `route` is expected to take; zero
/// if few have ended lately.
/// Load pattern: upstreams are slower than the callers' time limits for some
/// seconds. Calls that can't end in time are refused at once, and tried again
/// every few seconds.
absl::Duration ShortestCall(const dispatch_state& state,
                            absl::string_view route, absl::Time now);

/// Returns the longest time that an engine of `service` is expected to need for
/// `tokens` more tokens of a stream; infinite if no stream has ended lately.
/// @param tokens largest number of tokens; may be infinite.
/// @param tokens_to_prefill tokens that must be prefilled before.
absl::Duration LongestRun(const dispatch_state& state,
                          absl::string_view service, double tokens,
                          double tokens_to_prefill, absl::Time now);

/// Returns the shortest time that an engine of `service` is expected to need
/// for `tokens` more tokens; zero if no stream has ended lately.
/// @param tokens smallest plausible number of tokens.
absl::Duration ShortestRun(const dispatch_state& state,
                           absl::string_view service, double tokens,
                           absl::Time now);

/// Returns whether a request that begins `now` has its final response before
/// this daemon stops: its time limit has passed by then, or it takes less time.
/// True unless the daemon is stopping.
/// @param deadline time limit of the request.
/// @param longest longest time that it takes.
bool EndsBeforeStop(const dispatch_state& state, absl::Time deadline,
                    absl::Duration longest, absl::Time now);

/// Returns whether a request that is admitted at `admission` may be begun by an
/// estimate of its duration that some requests exceed. True unless the daemon
/// is stopping, and in a stop while the load balancer still sends callers here.
/// Later ones come on connections that they have kept and can go elsewhere, so
/// they are begun only if they are certain to end before the stop.
bool MayBeginByEstimate(const dispatch_state& state, absl::Time admission);

/// Returns whether `stream` may be begun: whether it has its final response
/// before this daemon stops. True unless the daemon is stopping.
/// @param admission when engines are reserved for the stream.
/// @param start when its decode begins.
bool MayBeginStream(const dispatch_state& state, const waiting_stream& stream,
                    absl::Time admission, absl::Time start);

/// Returns whether a call on `route` may be begun `now`: whether it has its
/// response before this daemon stops. Its time limit is the only certain bound
/// of its duration. True unless the daemon is stopping.
/// @param deadline time limit of the call.
bool MayBeginCall(const dispatch_state& state, absl::string_view route,
                  absl::Time deadline, absl::Time now);

/// Returns the time until this daemon is expected to have ended its stop: when
/// its streams are expected to end, but within the bounds of the stop. Nothing
/// unless it is stopping.
std::optional<absl::Duration> StopLeft(const dispatch_state& state,
                                       absl::Time now);

/// Returns the time until a daemon serves what this one refuses in its stop:
/// none if another live daemon is known that isn't stopping; otherwise the time
/// until the first of those that stop, this one included, is expected to have
/// started again.
absl::Duration TimeUntilServed(const dispatch_state& state, absl::Time now);

/// Returns the error for a request that this daemon doesn't begin because it is
/// stopping. Its retry delay is at most what the caller follows.
/// @param deadline time limit of the request.
absl::Status StoppingError(dispatch_state& state, absl::Time deadline,
                           absl::Time now);

/// Refuses the queued streams that could not end before this daemon stops if
/// they began as soon as an engine is expected to have room.
void RefuseStreamsThatOutlastStop(dispatch_state& state, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STOP_ADMISSION_H_
