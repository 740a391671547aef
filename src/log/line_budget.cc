#include "log/line_budget.h"

#include <algorithm>
#include <utility>

namespace anvilridge {
namespace {

// Lines a second: several for each of the 100 requests a second that a daemon
// on half a core answers. A line of 400 bytes makes it 0.2 MB/s.
constexpr double kLinesPerSecond = 500;
// Lines that may come at once: the entries of some hundred upstreams at a
// start.
constexpr double kBurst = 2000;

}  // namespace

bool TakeLine(line_budget& budget, absl::Time now) {
  const double seconds =
      std::max(0.0, absl::ToDoubleSeconds(now - budget.filled));
  budget.lines = std::min(kBurst, budget.lines + seconds * kLinesPerSecond);
  budget.filled = now;
  if (budget.lines < 1) {
    ++budget.dropped;
    return false;
  }
  budget.lines -= 1;
  return true;
}

int64_t TakeNote(line_budget& budget) {
  budget.lines -= 1;
  return std::exchange(budget.dropped, 0);
}

}  // namespace anvilridge
