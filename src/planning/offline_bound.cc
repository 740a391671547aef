#include "planning/offline_bound.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace anvilridge {
namespace {

// Distance between the grid points at which time intervals start and end, about
// half a latency target. The number of intervals grows with the square of the
// number of points.
constexpr absl::Duration kGridSpacing = absl::Milliseconds(500);

// Engine time that a stream needs to be on time, and the interval for it.
struct stream_demand {
  // Arrival, and the latest end of a stream that begins on time and decodes at
  // the fastest speed; both in ms since the first arrival of the day.
  double earliest_ms = 0;
  double latest_ms = 0;
  // Prefill time, plus decode time weighted with the stream's part of the KV
  // cache of one engine.
  double engine_ms = 0;
};

stream_demand ComputeDemand(const stream_arrival& arrival,
                            const engine_capacity& capacity, absl::Time origin,
                            absl::Duration latency_target) {
  const double decode_ms = arrival.output_tokens * capacity.step_ms;
  // The KV cache of a stream grows evenly from the prompt to the prompt plus
  // the output, so it holds half of the output on average.
  const double mean_kv_tokens =
      arrival.prompt_tokens + arrival.output_tokens / 2;
  stream_demand demand;
  demand.earliest_ms = absl::ToDoubleMilliseconds(arrival.arrived_at - origin);
  demand.latest_ms = demand.earliest_ms +
                     absl::ToDoubleMilliseconds(latency_target) + decode_ms;
  demand.engine_ms = arrival.prompt_tokens / capacity.prefill_tokens_per_ms +
                     decode_ms * mean_kv_tokens / capacity.kv_tokens;
  return demand;
}

// Returns how many of the streams that must run entirely between `from_ms` and
// `to_ms` exceed the engine time of that interval. `demands` must be sorted by
// ascending engine time, which makes the result the smallest possible.
int CountUnserved(const std::vector<stream_demand>& demands, double from_ms,
                  double to_ms, int engines) {
  double remaining_ms = (to_ms - from_ms) * engines;
  int unserved = 0;
  for (const stream_demand& demand : demands) {
    if (demand.earliest_ms < from_ms || demand.latest_ms > to_ms) continue;
    remaining_ms -= demand.engine_ms;
    if (remaining_ms < 0) ++unserved;
  }
  return unserved;
}

}  // namespace

on_time_bound BoundStreamsOnTime(absl::Span<const stream_arrival> arrivals,
                                 const engine_capacity& capacity,
                                 absl::Duration latency_target) {
  on_time_bound bound;
  bound.arrivals = static_cast<int>(arrivals.size());
  if (arrivals.empty()) return bound;
  const absl::Time origin =
      std::min_element(arrivals.begin(), arrivals.end(),
                       [](const auto& a, const auto& b) {
                         return a.arrived_at < b.arrived_at;
                       })
          ->arrived_at;
  std::vector<stream_demand> demands;
  double end_ms = 0;
  for (const stream_arrival& arrival : arrivals) {
    demands.push_back(ComputeDemand(arrival, capacity, origin, latency_target));
    end_ms = std::max(end_ms, demands.back().latest_ms);
  }
  std::sort(demands.begin(), demands.end(), [](const auto& a, const auto& b) {
    return a.engine_ms < b.engine_ms;
  });
  const double grid_ms = absl::ToDoubleMilliseconds(kGridSpacing);
  const auto point_count = static_cast<size_t>(std::ceil(end_ms / grid_ms)) + 1;
  // For each grid point, the largest number of streams proven unserved by any
  // set of intervals before it. The counts of intervals that don't overlap add
  // up, since a stream lies within at most one of them.
  std::vector<int> unserved(point_count, 0);
  for (size_t to = 1; to < point_count; ++to) {
    for (size_t from = 0; from < to; ++from) {
      unserved[to] = std::max(
          unserved[to],
          unserved[from] + CountUnserved(demands,
                                         static_cast<double>(from) * grid_ms,
                                         static_cast<double>(to) * grid_ms,
                                         capacity.engines));
    }
  }
  bound.max_on_time = bound.arrivals - unserved.back();
  return bound;
}

}  // namespace anvilridge
