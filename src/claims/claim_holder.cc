#include "claims/claim_holder.h"

#include "base/error_kind.h"

namespace anvilridge {
namespace {

constexpr int kPreconditionFailed = 412;

}  // namespace

absl::Status CheckBeforeSend(const claim_grant& grant,
                             const send_conditions& conditions) {
  if (!conditions.lease_valid) {
    return MakeError(error_kind::lease_lost,
                     "the lease was lost before the call was sent",
                     run_state::not_run);
  }
  if (conditions.now >= grant.send_by) {
    return MakeError(
        error_kind::deadline_exceeded,
        "the send window of the claim ended before the call was sent",
        run_state::not_run);
  }
  if (!conditions.caller_present) {
    return MakeError(error_kind::deadline_exceeded,
                     "the caller left before the call was sent",
                     run_state::not_run);
  }
  return absl::OkStatus();
}

claim_follow_up DecideFollowUp(const call_completion& end) {
  if (end.http_status == 0) {
    return end.ran == run_state::not_run ? claim_follow_up::release
                                         : claim_follow_up::leave_unknown;
  }
  if (end.upstream_checks_fencing && end.http_status == kPreconditionFailed) {
    return claim_follow_up::leave_unknown;
  }
  return claim_follow_up::settle;
}

}  // namespace anvilridge
