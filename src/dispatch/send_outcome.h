#ifndef ANVILRIDGE_DISPATCH_SEND_OUTCOME_H_
#define ANVILRIDGE_DISPATCH_SEND_OUTCOME_H_

#include "absl/strings/string_view.h"
#include "dispatch/fleet_speaker.h"
#include "fleet/fleet_config.h"

namespace anvilridge {

/// What is known of a request after one send.
enum class send_fate {
  /// The upstream's whole answer is here.
  answered,
  /// The upstream says that it has not run the request.
  refused,
  /// No connection was made.
  unsent,
  /// It may have run.
  unknown,
};

absl::string_view SendFateName(send_fate fate);

/// Returns the fate of a send that ended with `result`.
send_fate FateOf(const http_result& result, const answer_facts& facts);

/// What a request may still use.
struct send_allowance {
  run_rule rule = run_rule::at_most_once;
  /// Upstreams that it was sent to, and the most that it may be sent to.
  int sends = 0;
  int attempts = 1;
  /// Whether an earlier send of it may have run.
  bool may_have_run = false;
  /// Whether the deployment's budget for further sends has room.
  bool budget = true;
  /// Whether another upstream could take it.
  bool other_upstream = true;
};

enum class next_step {
  /// Hand the answer to the caller.
  deliver,
  /// Send to another upstream.
  send_again,
  /// Tell the caller that it has not run and when to come back.
  refuse,
  /// Tell the caller that its fate is not known.
  fail,
};

/// Decides what follows a send with `fate`; `http_status` is that of the
/// answer, if any.
next_step StepAfter(send_fate fate, int http_status,
                    const send_allowance& allowance);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_SEND_OUTCOME_H_
