#include "dispatch/decode_memory.h"

#include <algorithm>

namespace anvilridge {
namespace {

std::vector<decode_run> SortByRemaining(absl::Span<const decode_run> runs) {
  std::vector<decode_run> sorted(runs.begin(), runs.end());
  std::sort(sorted.begin(), sorted.end(),
            [](const decode_run& a, const decode_run& b) {
              return a.remaining < b.remaining;
            });
  return sorted;
}

// Like `PeakTokens`, for runs sorted by their remaining tokens.
double PeakOfSorted(absl::Span<const decode_run> sorted) {
  double context = 0;
  for (const decode_run& run : sorted) context += run.context;
  double peak = context;
  double running = static_cast<double>(sorted.size());
  for (const decode_run& run : sorted) {
    peak = std::max(peak, context + run.remaining * running);
    context -= run.context;
    running -= 1;
  }
  return peak;
}

}  // namespace

decode_run ExtrapolateRun(const decode_run& run, absl::Time now,
                          double tokens_per_ms) {
  const double elapsed_ms =
      std::max(0.0, absl::ToDoubleMilliseconds(now - run.since));
  const double generated = std::min(run.remaining, elapsed_ms * tokens_per_ms);
  return {run.context + generated, run.remaining - generated,
          std::max(run.since, now)};
}

double PeakTokens(absl::Span<const decode_run> runs) {
  return PeakOfSorted(SortByRemaining(runs));
}

capacity_forecast ForecastCapacity(absl::Span<const decode_run> runs,
                                   const decode_run& run, double capacity,
                                   int slots, double tokens_per_ms) {
  if (run.context + run.remaining > capacity || slots < 1) {
    return {absl::InfiniteDuration()};
  }
  std::vector<decode_run> left = SortByRemaining(runs);
  double generated = 0;
  while (true) {
    std::vector<decode_run> with = left;
    const auto position =
        std::find_if(with.begin(), with.end(), [&run](const decode_run& other) {
          return other.remaining > run.remaining;
        });
    with.insert(position, run);
    if (static_cast<int>(with.size()) <= slots &&
        PeakOfSorted(with) <= capacity) {
      return {absl::Milliseconds(generated / tokens_per_ms)};
    }
    if (left.empty()) return {absl::InfiniteDuration()};
    // Advance to the end of the run that ends next.
    const double step = left.front().remaining;
    left.erase(left.begin());
    for (decode_run& other : left) {
      other.context += step;
      other.remaining -= step;
    }
    generated += step;
  }
}

}  // namespace anvilridge
