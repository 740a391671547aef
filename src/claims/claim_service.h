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

/// A call that may not be repeated.
struct claim_request {
  std::string team;
  /// The caller's `Idempotency-Key`.
  std::string key;
  std::string route;
  /// Hash over method, target and body.
  std::string body_hash;
  /// How long from now the call may begin to be sent; at most
  /// `kMaxSendWindow`.
  absl::Duration send_window = kMaxSendWindow;
  /// How long the upstream may take to answer.
  absl::Duration answer_window = absl::Seconds(30);
};

/// Either the right to send the call, or the outcome of the earlier one.
using claim_result = std::variant<claim_grant, claim_outcome>;

/// Counts since the start, for metrics.
struct claim_counters {
  uint64_t granted = 0;
  uint64_t replayed = 0;
  uint64_t refused = 0;
  /// Claims concluded here since their home could not be reached.
  uint64_t home_unreachable = 0;
  /// Outcomes and releases that could not be written in time.
  uint64_t records_given_up = 0;
};

/// Sees to it that a call with an idempotency key runs at most once in the
/// whole deployment. Lives on the control thread.
class claim_service {
 public:
  /// `log_appends_per_second` is what the log grants the whole deployment.
  claim_service(claim_io io, double log_appends_per_second);
  ~claim_service();

  /// Claims the key. `done` is called once on this thread, within
  /// `kClaimPatience` and a short while. After a grant, ask `CheckBeforeSend`
  /// and then call one of `Settle`, `Release` and `LeaveUnknown`. Errors:
  /// `key_malformed`, `key_expired`, `key_conflict`, `key_in_progress`,
  /// `outcome_unknown` and `log_unavailable`, whose run state says whether the
  /// call ran.
  void Claim(const claim_request& request,
             std::function<void(absl::StatusOr<claim_result>)> done);

  /// Stores what the upstream answered; unknown ids are ignored.
  void Settle(const std::string& claim_id, claim_outcome outcome);

  /// Says that the call was not sent and never will be.
  void Release(const std::string& claim_id);

  /// Says that the call may have run without an answer: its key stays used.
  void LeaveUnknown(const std::string& claim_id);

  /// Serves `claims/claim` and `claims/settle` to the other daemons.
  void RegisterPeerHandlers(peer_server& server);

  /// To be called when the live members change: takes up new homes.
  void OnMembersChanged();

  /// Outcomes and releases not yet in the log; a planned stop waits for them
  /// as long as it can.
  size_t UnwrittenRecords() const;

  claim_counters Counters() const;

  /// Handlers behind `RegisterPeerHandlers`.
  void HandleClaim(const QCborMap& request, const peer_responder& respond);
  void HandleSettle(const QCborMap& request, const peer_responder& respond);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_SERVICE_H_
