#ifndef ANVILRIDGE_DISPATCH_SEND_CLAIM_H_
#define ANVILRIDGE_DISPATCH_SEND_CLAIM_H_

#include "absl/strings/string_view.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/request_sends.h"
#include "dispatch/routed_request.h"

namespace anvilridge {

/// Takes the next send of a request from the send budget if it is an extra one.
/// Every send of a stream after the first one is claimed before it is made.
/// @param reason for the log, and for the count of extra sends.
/// @return false if the budget doesn't allow the send.
bool ClaimSend(dispatch_state& state, const routed_request& routed,
               request_sends& sends, send_purpose purpose,
               absl::string_view reason,
               extra_send_need need = extra_send_need::replacement);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_SEND_CLAIM_H_
