#ifndef ANVILRIDGE_DISPATCH_UNFINISHED_REQUEST_H_
#define ANVILRIDGE_DISPATCH_UNFINISHED_REQUEST_H_

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/fleet_request.h"
#include "fleet/fleet_config.h"

namespace anvilridge {

/// Why a request that was sent to an upstream ended without a whole answer.
enum class unfinished_reason {
  /// The upstream was silent for too long.
  silence,
  /// The upstream or its connection failed.
  upstream_failed,
  /// The caller's time limit or the route's timeout was reached.
  time_limit,
  /// The caller would not have waited any longer for the first event.
  caller_patience,
  /// This daemon stopped.
  stop,
  /// Engines crash on a part of its prompt.
  quarantined,
};

/// How a request without a whole answer ended.
struct unfinished_request {
  unfinished_reason reason = unfinished_reason::upstream_failed;
  /// Id of the upstream that it was sent to last.
  absl::string_view upstream;
  /// Whether the call to that upstream was still in progress.
  bool call_in_progress = false;
  /// Time since the upstream's last event, or since the send if it sent none.
  absl::Duration silence;
  int sends = 0;
  /// Events passed on to the caller.
  int events = 0;
};

/// Returns the name of `reason` in logs and metrics.
absl::string_view UnfinishedReasonName(unfinished_reason reason);

/// Logs and counts a request that ends without a whole answer, together with
/// the extra sends that the budget had left.
void ReportUnfinished(dispatch_state& state, const fleet_request& request,
                      const fleet_route& route, const fleet_service& service,
                      const unfinished_request& unfinished);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_UNFINISHED_REQUEST_H_
