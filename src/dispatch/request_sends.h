#ifndef ANVILRIDGE_DISPATCH_REQUEST_SENDS_H_
#define ANVILRIDGE_DISPATCH_REQUEST_SENDS_H_

#include "dispatch/fleet_protocol.h"

namespace anvilridge {

/// Sends of one request that reached upstreams.
struct request_sends {
  /// Sends that count against the route's number of attempts: calls, decodes,
  /// prefills that were refused, and those sent in place of another one.
  int attempts = 0;
  int prefills = 0;
  /// Whether an engine has accepted one of the prefills.
  bool prefill_accepted = false;
  /// Sends of the request itself: calls and decodes.
  int runs = 0;
  /// Extra sends that were taken from the budget.
  int budgeted = 0;
};

/// Returns the number of sends after the first one, as the send budget counts
/// them. The first prefill that an engine accepts isn't counted; one that was
/// refused or lost is.
int ExtraSends(const request_sends& sends);

/// Returns whether another send must be taken from the budget.
bool NeedsBudget(const request_sends& sends, send_purpose purpose);

/// Counts a send before it is made. A prefill is not counted as an attempt.
/// @param returns whether the upstream has had an earlier send of the request:
///     an attempt is an upstream, however often it is sent to.
void CountSend(request_sends& sends, send_purpose purpose,
               bool returns = false);

/// Takes back a send that reached no upstream.
/// @param returns as it was counted.
void UncountSend(request_sends& sends, send_purpose purpose,
                 bool returns = false);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_REQUEST_SENDS_H_
