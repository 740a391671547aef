#ifndef ANVILRIDGE_CLAIMS_CLAIM_PARTITION_H_
#define ANVILRIDGE_CLAIMS_CLAIM_PARTITION_H_

#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "claims/claim_batcher.h"
#include "claims/claim_index.h"
#include "claims/claim_io.h"
#include "claims/claim_reply.h"

namespace anvilridge {

/// Time after which a claim ends even if the log has not decided it. Within the
/// first part, `kMaxSendWindow`, the claim of every earlier attempt with the
/// same key is appended to the log or loses its right to send. A read of the
/// log that starts later therefore shows for certain whether an earlier attempt
/// may have run.
inline const absl::Duration kClaimTimeout = kMaxSendWindow + absl::Seconds(2);

/// Appends the claims, outcomes and releases of one partition to the log in
/// batches (group commit) and decides claims by reading the log. Any number of
/// daemons may do so for the same partition at the same time: the order of the
/// records in the log decides between their claims.
class claim_partition {
 public:
  /// Receives the reply to a claim.
  using claim_callback = std::function<void(claim_reply)>;
  /// Called when the record has been written or its deadline has passed, with
  /// the status of the append that ended last.
  using append_callback = std::function<void(absl::Status)>;

  /// Creates partition `number`, from 0 to `kClaimPartitions` - 1. `io` and
  /// `append_limiter` must outlive this object and its callbacks.
  claim_partition(int number, const claim_io& io,
                  append_rate_limiter& append_limiter);
  ~claim_partition();
  claim_partition(const claim_partition&) = delete;
  claim_partition& operator=(const claim_partition&) = delete;

  /// Claims the key of `claim`. `waited` is the time since the holder of the
  /// claim received the call. Calls `done` once, at most `kClaimTimeout` after
  /// the holder received the call, or later if the stored outcome of an earlier
  /// call must first be read. Gives an error with run state `not_run` only if
  /// no attempt with this key that began earlier has run or can still run.
  void Claim(claim_record claim, absl::Duration waited, claim_callback done);

  /// Appends an outcome or a release to the log, with retries until `deadline`.
  /// Calls `done` once if it is set.
  void Append(claims_record record, absl::Time deadline, append_callback done);

  /// Reads the stream up to its end, so that later claims are decided sooner.
  void CatchUp();

  /// Returns whether no claim and no append is pending.
  bool IsIdle() const;

  /// Returns the claims as of the last read.
  const claim_index& Index() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_PARTITION_H_
