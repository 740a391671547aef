#include "dispatch/stream_order.h"

#include <iterator>
#include <utility>

namespace anvilridge {
namespace {

// Time for which one level of priority counts: a fraction of the time for which
// streams may wait, so that the least urgent of ten levels isn't starved.
constexpr absl::Duration kPriorityStep = absl::Milliseconds(50);

absl::Time RankOf(const waiting_stream& stream) {
  return stream.latest_on_time_start + stream.priority * kPriorityStep;
}

bool IsServedBefore(const waiting_stream& one, const waiting_stream& other) {
  return one.goes_first || RankOf(one) <= RankOf(other);
}

}  // namespace

void QueueInOrder(std::list<waiting_stream>& queue, waiting_stream stream) {
  auto position = queue.end();
  while (position != queue.begin() &&
         !IsServedBefore(*std::prev(position), stream)) {
    --position;
  }
  queue.insert(position, std::move(stream));
}

size_t StreamsAhead(const std::list<waiting_stream>& queue,
                    const waiting_stream& stream) {
  size_t ahead = 0;
  for (const waiting_stream& other : queue) {
    if (!IsServedBefore(other, stream)) break;
    ++ahead;
  }
  return ahead;
}

void MoveLateStreams(std::list<waiting_stream>& queue,
                     std::list<waiting_stream>& late, absl::Time now) {
  for (auto it = queue.begin(); it != queue.end();) {
    const auto stream = it++;
    if (stream->latest_on_time_start > now) continue;
    late.splice(late.end(), queue, stream);
  }
}

}  // namespace anvilridge
