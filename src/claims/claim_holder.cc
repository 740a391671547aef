#include "claims/claim_holder.h"

#include "base/error_kind.h"

namespace anvilridge {
namespace {

constexpr int kPreconditionFailed = 412;

}  // namespace

absl::Status CheckBeforeSend(const claim_grant& grant,
                             const send_check& check) {
  if (!check.lease_valid) {
    return MakeError(error_kind::lease_lost, "paused before sending",
                     run_state::not_run);
  }
  if (check.now >= grant.send_by) {
    return MakeError(error_kind::deadline_exceeded,
                     "the claim came too late to send", run_state::not_run);
  }
  if (!check.caller_present) {
    return MakeError(error_kind::deadline_exceeded,
                     "the caller left before the call was sent",
                     run_state::not_run);
  }
  return absl::OkStatus();
}

claim_follow_up FollowUp(const call_end& end) {
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
