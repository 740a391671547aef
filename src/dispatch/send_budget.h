#ifndef ANVILRIDGE_DISPATCH_SEND_BUDGET_H_
#define ANVILRIDGE_DISPATCH_SEND_BUDGET_H_

#include <deque>
#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// Bound on sends beyond the first of each request, over all daemons: in any
/// window, `ratio` of the requests plus `slack`.
struct send_budget_limits {
  double ratio = 0.2;
  int slack = 0;
  absl::Duration window = absl::Seconds(10);
};

/// Requests and further sends of one service within a slice of time.
struct send_counts {
  absl::Time began;
  int requests = 0;
  int extra = 0;
};

/// What this daemon has used of the budget, by service.
struct send_budget {
  std::map<std::string, std::deque<send_counts>, std::less<>> services;
};

/// Notes a request that will be sent to `service`.
void NoteRequest(send_budget& budget, absl::string_view service,
                 absl::Time now);

/// Takes one further send to `service` from this daemon's part of the budget:
/// the ratio of its own requests and an even part of the slack.
/// @param daemons how many share the slack, at least 1.
/// @return false when the part is used up.
bool TakeExtraSend(send_budget& budget, absl::string_view service,
                   const send_budget_limits& limits, int daemons,
                   absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_SEND_BUDGET_H_
