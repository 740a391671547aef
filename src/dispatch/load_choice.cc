#include "dispatch/load_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace anvilridge {
namespace {

// Time constant of the moving average of work: some dozens of streams at a
// daemon of a large deployment.
constexpr absl::Duration kRateTime = absl::Seconds(5);
// Time from a send to its receipt in a report by the other daemons: reports are
// at least 10 ms apart, and slow machines need as long to send and read them.
constexpr absl::Duration kReportDelay = absl::Milliseconds(20);
// Longest time between two reports of a daemon whose load doesn't change.
constexpr absl::Duration kMaxReportInterval = absl::Milliseconds(450);
// Work below which the cheapest upstreams count as equal.
constexpr double kLeastWork = 1e-9;

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
  std::vector<double> finite;
  finite.reserve(costs.size());
  for (const double cost : costs) {
    if (std::isfinite(cost)) finite.push_back(cost);
  }
  if (finite.empty()) return std::nullopt;
  std::sort(finite.begin(), finite.end());
  const double work = std::max(kLeastWork, spread.unheard);
  const double level = FillLevel(finite, work);
  double left = spread.draw * work;
  std::optional<size_t> chosen;
  for (size_t i = 0; i < costs.size(); ++i) {
    if (!(costs[i] < level)) continue;
    chosen = i;
    left -= level - costs[i];
    if (left < 0) break;
  }
  if (chosen) return chosen;
  // The work is too small for the precision of the costs.
  return static_cast<size_t>(std::min_element(costs.begin(), costs.end()) -
                             costs.begin());
}

}  // namespace anvilridge
