#ifndef ANVILRIDGE_DISPATCH_STREAM_ORDER_H_
#define ANVILRIDGE_DISPATCH_STREAM_ORDER_H_

#include <cstddef>
#include <list>

#include "absl/time/time.h"
#include "dispatch/dispatch_state.h"

namespace anvilridge {

/// Orders the streams that wait for decode memory and can still be on time.
/// Load pattern: streams that are due within 800 ms compete for the memory with
/// others that are due within 2 s. In order of arrival, a burst of the latter
/// makes the former late, which could be served first without making any late.
///
/// The stream with the earliest latest start is served first; each level of
/// priority counts as some time. Waits are bounded by the latest starts, so
/// that no stream is passed by for ever. Equally urgent streams with one
/// latency target are served in order of arrival.

/// Queues `stream` in `queue` by its rank, but not ahead of streams that go
/// first.
void QueueInOrder(std::list<waiting_stream>& queue, waiting_stream stream);

/// Returns how many streams of `queue` are served before `stream`, which is not
/// in it.
size_t StreamsAhead(const std::list<waiting_stream>& queue,
                    const waiting_stream& stream);

/// Moves the streams whose latest on-time start has passed at `now` from
/// `queue` to the end of `late`, in order.
void MoveLateStreams(std::list<waiting_stream>& queue,
                     std::list<waiting_stream>& late, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_ORDER_H_
