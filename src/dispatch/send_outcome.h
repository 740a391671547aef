#ifndef ANVILRIDGE_DISPATCH_SEND_OUTCOME_H_
#define ANVILRIDGE_DISPATCH_SEND_OUTCOME_H_

#include "absl/strings/string_view.h"
#include "dispatch/fleet_protocol.h"
#include "fleet/fleet_config.h"

namespace anvilridge {

/// Outcome of one send of a request to an upstream.
enum class send_outcome {
  /// The upstream's complete response was received.
  answered,
  /// The upstream reported that it did not run the request.
  refused,
  /// No connection to the upstream was established, so nothing was sent.
  unsent,
  /// The upstream may have run the request, but no valid response arrived.
  unknown,
};

/// Returns the name of `outcome` in logs and metrics.
absl::string_view SendOutcomeName(send_outcome outcome);

/// Returns the outcome of a send that ended with `result`.
/// @param info information from the headers of the response.
send_outcome ClassifySend(const http_result& result, const response_info& info);

/// State of a request from which `DecideNextStep` derives whether it may be
/// sent again.
struct retry_context {
  run_rule rule = run_rule::at_most_once;
  /// Number of upstreams that the request was sent to, and its upper bound.
  int sends = 0;
  int max_sends = 1;
  /// Whether an upstream may have run the request in an earlier send.
  bool may_have_run = false;
  /// Whether the deployment's budget for extra sends allows another one.
  bool has_budget = true;
  /// Whether an upstream is left to which the request was not sent yet.
  bool has_other_upstream = true;
};

/// What happens to a request after a send has ended.
enum class next_step {
  /// Pass the upstream's response to the caller.
  deliver,
  /// Send the request to another upstream.
  send_again,
  /// Respond that the request was not run and when the caller may retry.
  refuse,
  /// Respond that the request failed and that it may have run.
  fail,
};

/// Returns what to do with a request after a send ended with `outcome`.
/// @param http_status status of the response; used only for `answered`.
next_step DecideNextStep(send_outcome outcome, int http_status,
                         const retry_context& retry);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_SEND_OUTCOME_H_
