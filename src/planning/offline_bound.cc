#include "planning/offline_bound.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace anvilridge {
namespace {

// Width of the spans' grid, about half a latency target. The number of spans
// grows with the square of a finer one.
constexpr absl::Duration kGrid = absl::Milliseconds(500);

struct stream_need {
  // Between these it must be under way.
  double earliest_ms = 0;
  double latest_ms = 0;
  // Time of a whole engine that it takes.
  double engine_ms = 0;
};

stream_need NeedOf(const stream_arrival& arrival,
                   const engine_capacity& capacity, absl::Time origin,
                   absl::Duration latency_target) {
  const double decode_ms = arrival.output_tokens * capacity.step_ms;
  // Its memory grows evenly from the prompt on.
  const double memory = arrival.prompt_tokens + arrival.output_tokens / 2;
  stream_need need;
  need.earliest_ms = absl::ToDoubleMilliseconds(arrival.at - origin);
  need.latest_ms =
      need.earliest_ms + absl::ToDoubleMilliseconds(latency_target) + decode_ms;
  need.engine_ms = arrival.prompt_tokens / capacity.prefill_tokens_per_ms +
                   decode_ms * memory / capacity.kv_tokens;
  return need;
}

// How many of the streams that must be under way within the span, sorted by
// need, don't fit into it.
int Unserved(const std::vector<stream_need>& needs, double from_ms,
             double to_ms, int engines) {
  double left = (to_ms - from_ms) * engines;
  int unserved = 0;
  for (const stream_need& need : needs) {
    if (need.earliest_ms < from_ms || need.latest_ms > to_ms) continue;
    left -= need.engine_ms;
    if (left < 0) ++unserved;
  }
  return unserved;
}

}  // namespace

service_bound BoundOnTime(absl::Span<const stream_arrival> arrivals,
                          const engine_capacity& capacity,
                          absl::Duration latency_target) {
  service_bound bound;
  bound.arrivals = static_cast<int>(arrivals.size());
  if (arrivals.empty()) return bound;
  const absl::Time origin =
      std::min_element(
          arrivals.begin(), arrivals.end(),
          [](const auto& one, const auto& other) { return one.at < other.at; })
          ->at;
  std::vector<stream_need> needs;
  double end_ms = 0;
  for (const stream_arrival& arrival : arrivals) {
    needs.push_back(NeedOf(arrival, capacity, origin, latency_target));
    end_ms = std::max(end_ms, needs.back().latest_ms);
  }
  std::sort(needs.begin(), needs.end(), [](const auto& one, const auto& other) {
    return one.engine_ms < other.engine_ms;
  });
  const double grid_ms = absl::ToDoubleMilliseconds(kGrid);
  const auto points = static_cast<size_t>(std::ceil(end_ms / grid_ms)) + 1;
  // Spans that don't overlap add up: the most that go unserved before each
  // point of the grid.
  std::vector<int> unserved(points, 0);
  for (size_t to = 1; to < points; ++to) {
    for (size_t from = 0; from < to; ++from) {
      unserved[to] = std::max(
          unserved[to],
          unserved[from] + Unserved(needs, static_cast<double>(from) * grid_ms,
                                    static_cast<double>(to) * grid_ms,
                                    capacity.engines));
    }
  }
  bound.most_on_time = bound.arrivals - unserved.back();
  return bound;
}

}  // namespace anvilridge
