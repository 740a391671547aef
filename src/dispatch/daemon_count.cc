#include "dispatch/daemon_count.h"

#include <algorithm>

namespace anvilridge {

void RecordDaemonCount(daemon_count& count, int daemons, absl::Time now) {
  count.first = std::min(count.first, now);
  std::deque<observed_count>& observed = count.observed;
  // A count was in force until the next one was observed.
  while (observed.size() > 1 && observed[1].time + kCountHoldTime < now) {
    observed.pop_front();
  }
  while (!observed.empty() && observed.back().daemons <= daemons) {
    observed.pop_back();
  }
  observed.push_back({now, daemons});
}

std::optional<int> SettledDaemonCount(const daemon_count& count,
                                      absl::Time now) {
  if (now < count.first + kCountSettleTime) return std::nullopt;
  size_t largest = 0;
  while (largest + 1 < count.observed.size() &&
         count.observed[largest + 1].time + kCountHoldTime < now) {
    ++largest;
  }
  return count.observed[largest].daemons;
}

}  // namespace anvilridge
