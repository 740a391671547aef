#ifndef ANVILRIDGE_LOG_LINE_BUDGET_H_
#define ANVILRIDGE_LOG_LINE_BUDGET_H_

#include <cstdint>

#include "absl/time/time.h"

namespace anvilridge {

/// Bound on the lines of a log: a token bucket.
struct line_budget {
  double lines = 0;
  absl::Time filled = absl::InfinitePast();
  /// Lines left out since the last one that was written.
  int64_t dropped = 0;
};

/// Takes one line from the budget at `now`; counts it as dropped when there is
/// none.
bool TakeLine(line_budget& budget, absl::Time now);

/// Takes the line that tells of the dropped ones, also when none is left.
/// @return how many were dropped since the last such line.
int64_t TakeNote(line_budget& budget);

}  // namespace anvilridge

#endif  // ANVILRIDGE_LOG_LINE_BUDGET_H_
