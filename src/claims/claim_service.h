#ifndef ANVILRIDGE_CLAIMS_CLAIM_SERVICE_H_
#define ANVILRIDGE_CLAIMS_CLAIM_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "claims/claim_holder.h"
#include "claims/claim_io.h"
#include "claims/claim_record.h"
#include "peer/peer_server.h"

namespace anvilridge {

/// Claim of an idempotency key for a call that must run at most once.
struct claim_request {
  std::string team;
  /// The caller's `Idempotency-Key`.
  std::string key;
  std::string route;
  /// Hash of the call's method, target and body.
  std::string body_hash;
  /// Time after `claim_service::Claim` in which the call to the upstream may
  /// start; limited to `kMaxSendWindow`.
  absl::Duration send_window = kMaxSendWindow;
  /// Time in which the upstream may respond.
  absl::Duration answer_window = absl::Seconds(30);
};

/// Permission to send the call, or the outcome of an earlier call with its key.
using claim_result = std::variant<claim_grant, claim_outcome>;

/// Counts since the start of the daemon, for metrics.
struct claim_counters {
  uint64_t granted = 0;
  /// Claims that got the stored outcome of an earlier call.
  uint64_t replayed = 0;
  uint64_t refused = 0;
  /// Claims that this daemon made in the log itself because it got no valid
  /// reply from their home.
  uint64_t home_unreachable = 0;
  /// Outcomes and releases that could not be written in time.
  uint64_t failed_record_writes = 0;
};

/// Ensures that a call with an idempotency key runs at most once in the whole
/// deployment. Must be used only on the control thread.
class claim_service {
 public:
  /// Creates the service. `log_appends_per_second` is the rate that the log
  /// accepts from the whole deployment.
  claim_service(claim_io io, double log_appends_per_second);
  ~claim_service();

  /// Claims the idempotency key of `request`. Calls `done` once on this thread,
  /// within `kClaimTimeout` and a short time for callbacks and replies. After a
  /// grant, the caller must use `CheckBeforeSend` and then call one of
  /// `Settle`, `Release` and `LeaveUnknown`. Errors: `key_malformed`,
  /// `key_expired`, `key_conflict`, `key_in_progress`, `outcome_unknown` and
  /// `log_unavailable`; the run state of the error gives whether the call ran.
  void Claim(const claim_request& request,
             std::function<void(absl::StatusOr<claim_result>)> done);

  /// Stores the response of the upstream as the outcome of a granted claim.
  /// Does nothing if there is no such claim.
  void Settle(const std::string& claim_id, claim_outcome outcome);

  /// Frees the key of a granted claim whose call was not sent and never will
  /// be. Does nothing if there is no such claim.
  void Release(const std::string& claim_id);

  /// Ends a granted claim whose call may have run but got no response. Its key
  /// stays in use.
  void LeaveUnknown(const std::string& claim_id);

  /// Registers the handlers of `claims/claim` and `claims/settle`, which the
  /// other daemons call.
  void RegisterPeerHandlers(peer_server& server);

  /// Must be called when the live members change. Recomputes the homes and the
  /// append rate, and starts to read the partitions whose home is now this
  /// daemon.
  void OnMembersChanged();

  /// Returns the number of outcomes and releases that are not in the log yet. A
  /// planned stop waits for them as long as it can.
  size_t UnwrittenRecords() const;

  claim_counters Counters() const;

  /// Handlers that `RegisterPeerHandlers` registers.
  void HandleClaim(const QCborMap& request, const peer_responder& respond);
  void HandleSettle(const QCborMap& request, const peer_responder& respond);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_SERVICE_H_
