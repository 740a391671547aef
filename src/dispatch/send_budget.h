#ifndef ANVILRIDGE_DISPATCH_SEND_BUDGET_H_
#define ANVILRIDGE_DISPATCH_SEND_BUDGET_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/random/bit_gen_ref.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "dispatch/daemon_count.h"

namespace anvilridge {

/// Limit on extra sends, which are the sends of a request after its first one:
/// in any window, all daemons together make at most `ratio` times the number of
/// requests plus `slack` of them.
struct send_budget_limits {
  double ratio = 0.2;
  int slack = 0;
  absl::Duration window = absl::Seconds(10);
};

/// What an extra send is for.
enum class extra_send_need {
  /// No other send of the request is in progress.
  replacement,
  /// Another send of the request is in progress, but slow. Such sends leave a
  /// part of the credit to replacements.
  alternative,
};

/// Extra sends that this daemon may make to one service. Requests and time earn
/// them; a daemon starts without any, because the previous process may have
/// spent what it had.
struct send_credit {
  double available = 0;
  /// Until when `available` contains what time has earned.
  absl::Time earned_until;
  /// Requests and extra sends since the daemon started.
  int64_t requests = 0;
  int64_t extra_sends = 0;
};

/// This daemon's part of the limit.
struct send_budget {
  /// Daemons that share the slack.
  daemon_count daemons;
  std::map<std::string, send_credit, std::less<>> services;
};

/// Records a request to `service`, which earns a part of an extra send.
void RecordRequest(send_budget& budget, absl::string_view service,
                   const send_budget_limits& limits, absl::Time now);

/// Consumes one extra send to `service`. A daemon whose part is too small to
/// save up a whole one is granted it by chance, as often as its part allows.
/// @return false if this daemon may not make the extra send.
bool ConsumeExtraSend(send_budget& budget, absl::string_view service,
                      const send_budget_limits& limits, absl::BitGenRef random,
                      absl::Time now,
                      extra_send_need need = extra_send_need::replacement);

/// Returns this daemon's credit for `service` at `now`.
const send_credit& SendCredit(send_budget& budget, absl::string_view service,
                              const send_budget_limits& limits, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_SEND_BUDGET_H_
