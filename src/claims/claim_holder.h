#ifndef ANVILRIDGE_CLAIMS_CLAIM_HOLDER_H_
#define ANVILRIDGE_CLAIMS_CLAIM_HOLDER_H_

#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "base/run_state.h"

namespace anvilridge {

/// Permission of this daemon to send a call to its upstream once.
struct claim_grant {
  std::string claim_id;
  /// Log offset of the claim; sent as `X-Fencing-Number`.
  int64_t fencing_number = 0;
  /// Incarnation of this daemon that made the claim.
  uint64_t incarnation = 0;
  /// Time from which the call may no longer be sent, by the monotonic clock.
  absl::Time send_by;
};

/// Conditions at the time when a claimed call is about to be sent.
struct send_conditions {
  absl::Time now;
  /// Result of `membership_service::IsLeaseValid(grant.incarnation)`.
  bool lease_valid = false;
  bool caller_present = true;
};

/// Returns whether a claimed call may be sent. The caller must send the call
/// directly after this check, with nothing in between. On an error
/// (`lease_lost` or `deadline_exceeded`, always with run state `not_run`) the
/// call must not be sent and the claim must be released.
///
/// If the process freezes after this check and sends the call only when it
/// resumes, only an upstream that checks the fencing number can refuse the
/// late call.
absl::Status CheckBeforeSend(const claim_grant& grant,
                             const send_conditions& conditions);

/// Action on a claim after its call has ended.
enum class claim_follow_up {
  /// Release the claim: the call was certainly not sent.
  release,
  /// Settle the claim with the response of the upstream.
  settle,
  /// Neither settle nor release the claim, and report run state `unknown` to
  /// the caller: the call may have run.
  leave_unknown,
};

/// Result of a call to an upstream.
struct call_completion {
  /// 0 if no complete response was received.
  int http_status = 0;
  /// Whether the call ran; used only if no complete response was received.
  run_state ran = run_state::unknown;
  bool upstream_checks_fencing = false;
};

/// Returns the action on the claim of a call that ended with `end`. A 412
/// response from an upstream that checks fencing numbers leaves the claim
/// unknown: another holder has sent the call, and its outcome is not known to
/// this daemon.
claim_follow_up DecideFollowUp(const call_completion& end);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_HOLDER_H_
