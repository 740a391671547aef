#include "dispatch/load_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace anvilridge {
namespace {

// Time constant of the moving average of work: a daemon of a large deployment
// sends a few streams within it, and bursts last about as long.
constexpr absl::Duration kRateTime = absl::Seconds(5);
// Time from a send to its receipt in a report by the other daemons: reports are
// at least 10 ms apart, and slow machines need as long to send and read them.
constexpr absl::Duration kReportDelay = absl::Milliseconds(20);
// Longest time between two reports of a daemon whose load doesn't change.
constexpr absl::Duration kMaxReportInterval = absl::Milliseconds(450);
// Bounds of the unheard work, beyond which it makes no difference: upstreams
// whose costs differ by less than the least count as equal.
constexpr double kLeastWork = 1e-9;
constexpr double kMostWork = 1e15;

}  // namespace

void RecordWork(work_rate& rate, double work, absl::Time now) {
  rate.per_second =
      WorkPerSecond(rate, now) + work / absl::ToDoubleSeconds(kRateTime);
  rate.updated = now;
}

double WorkPerSecond(const work_rate& rate, absl::Time now) {
  if (rate.per_second <= 0 || now <= rate.updated) return rate.per_second;
  return rate.per_second *
         std::exp(-absl::FDivDuration(now - rate.updated, kRateTime));
}

absl::Duration UnheardTime(absl::Duration since_report) {
  return since_report <= kMaxReportInterval
             ? kReportDelay
             : std::max(kReportDelay, since_report);
}

double FillLevel(absl::Span<const double> costs, double work) {
  double sum = 0;
  for (size_t filled = 1; filled <= costs.size(); ++filled) {
    sum += costs[filled - 1];
    const double level = (sum + work) / static_cast<double>(filled);
    if (filled == costs.size() || level <= costs[filled]) return level;
  }
  return std::numeric_limits<double>::infinity();
}

std::optional<size_t> ChooseByCost(absl::Span<const double> costs,
                                   const choice_spread& spread) {
  // Relative to the least cost, so that small amounts of work aren't lost
  // beside large costs.
  double least = std::numeric_limits<double>::infinity();
  for (const double cost : costs) least = std::min(least, cost);
  if (!std::isfinite(least)) return std::nullopt;
  std::vector<double> finite;
  finite.reserve(costs.size());
  for (const double cost : costs) {
    if (std::isfinite(cost)) finite.push_back(cost - least);
  }
  std::sort(finite.begin(), finite.end());
  const double work = std::clamp(spread.unheard, kLeastWork, kMostWork);
  const double level = FillLevel(finite, work);
  double left = spread.draw * work;
  std::optional<size_t> chosen;
  for (size_t i = 0; i < costs.size(); ++i) {
    if (!(costs[i] - least < level)) continue;
    chosen = i;
    left -= level - (costs[i] - least);
    if (left < 0) break;
  }
  return chosen;
}

}  // namespace anvilridge
