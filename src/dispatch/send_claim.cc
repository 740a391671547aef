#include "dispatch/send_claim.h"

namespace anvilridge {

bool ClaimSend(dispatch_state& state, const routed_request& routed,
               request_sends& sends, send_purpose purpose,
               absl::string_view reason, extra_send_need need) {
  if (!NeedsBudget(sends, purpose)) return true;
  if (!TakeBudgetedSend(state, routed.service->name, routed.request.id, reason,
                        need)) {
    return false;
  }
  ++sends.budgeted;
  return true;
}

}  // namespace anvilridge
