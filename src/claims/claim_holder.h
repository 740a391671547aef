#ifndef ANVILRIDGE_CLAIMS_CLAIM_HOLDER_H_
#define ANVILRIDGE_CLAIMS_CLAIM_HOLDER_H_

#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "base/run_state.h"

namespace anvilridge {

/// The right to send one call once.
struct claim_grant {
  std::string claim_id;
  /// Log offset of the claim; sent as `X-Fencing-Number`.
  int64_t fencing_number = 0;
  /// Incarnation of this daemon that holds the claim.
  uint64_t incarnation = 0;
  /// Latest time to begin to send, by the monotonic clock.
  absl::Time send_by;
};

/// What is known when the call is about to be sent.
struct send_check {
  absl::Time now;
  /// `membership_service::LeaseValid(grant.incarnation)`.
  bool lease_valid = false;
  bool caller_present = true;
};

/// Must be asked right before the call is sent, with nothing in between. An
/// error (`lease_lost`, `deadline_exceeded`; always `not_run`) means that the
/// call must not be sent and the claim is to be released. A process that
/// freezes after this check and before the bytes leave is stopped only by an
/// upstream that checks the fencing number.
absl::Status CheckBeforeSend(const claim_grant& grant, const send_check& check);

/// What to do with the claim when the call has ended.
enum class claim_follow_up {
  /// Provably not sent: release.
  release,
  /// The upstream answered: settle with its answer.
  settle,
  /// It may have run: leave the claim as it is and answer `unknown`.
  leave_unknown,
};

/// How a call to an upstream ended.
struct call_end {
  /// 0 when no whole answer came.
  int http_status = 0;
  /// When no answer came: whether the call was sent.
  run_state ran = run_state::unknown;
  bool upstream_checks_fencing = false;
};

/// Decides what follows a call. An answer 412 of an upstream that checks
/// fencing numbers speaks of another holder, whose outcome is not known here.
claim_follow_up FollowUp(const call_end& end);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_HOLDER_H_
