#ifndef ANVILRIDGE_DISPATCH_SEND_BUDGET_H_
#define ANVILRIDGE_DISPATCH_SEND_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// Limit on extra sends, which are the sends of a request after its first one:
/// in any window, all daemons together make at most `ratio` times the number of
/// requests plus `slack` of them.
struct send_budget_limits {
  double ratio = 0.2;
  int slack = 0;
  absl::Duration window = absl::Seconds(10);
};

/// Requests and extra sends of one service within a slice of the window.
struct send_counts {
  absl::Time start;
  int requests = 0;
  int extra_sends = 0;
};

/// Requests and extra sends of this daemon to one service.
struct service_sends {
  /// Those within the window, oldest slice first.
  std::deque<send_counts> slices;
  /// Those since the daemon started.
  int64_t total_requests = 0;
  int64_t total_extra_sends = 0;
};

/// This daemon's use of the budget, by service.
struct send_budget {
  std::map<std::string, service_sends, std::less<>> services;
};

/// Counts a request to `service`.
void RecordRequest(send_budget& budget, absl::string_view service,
                   absl::Time now);

/// Returns how many extra sends to `service` are left of this daemon's part of
/// the budget, which is made of the ratio of its own requests and an equal part
/// of the slack.
/// @param daemons number of daemons that share the slack, at least 1.
double AvailableExtraSends(send_budget& budget, absl::string_view service,
                           const send_budget_limits& limits, int daemons,
                           absl::Time now);

/// Consumes one extra send to `service` from this daemon's part of the budget.
/// @param daemons number of daemons that share the slack, at least 1.
/// @return false if this daemon's part is used up.
bool ConsumeExtraSend(send_budget& budget, absl::string_view service,
                      const send_budget_limits& limits, int daemons,
                      absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_SEND_BUDGET_H_
