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

/// Longest time that a claim waits on the log before it is concluded. In its
/// first part, `kMaxSendWindow`, every earlier attempt with the same key gets
/// its claim into the log or loses the right to send; a read that begins after
/// that tells for certain whether one may have run.
inline const absl::Duration kClaimPatience = kMaxSendWindow + absl::Seconds(2);

/// Claims, outcomes and releases of one partition as this daemon appends and
/// reads them: the group commit. Any number of daemons may do this on the same
/// partition at once; the log's order decides.
class claim_partition {
 public:
  using claim_done = std::function<void(claim_reply)>;
  using append_done = std::function<void(absl::Status)>;

  /// `io` and `allowance` must outlive this object and its callbacks.
  claim_partition(int number, const claim_io& io, append_allowance& allowance);
  ~claim_partition();
  claim_partition(const claim_partition&) = delete;
  claim_partition& operator=(const claim_partition&) = delete;

  /// Claims the key of `claim`, which reached its holder `waited` ago. `done`
  /// is called once, within `kClaimPatience`. An error with run state
  /// `not_run` is given only when no attempt with this key that began earlier
  /// has run or can.
  void Claim(claim_record claim, absl::Duration waited, claim_done done);

  /// Appends an outcome or a release, again and again until `give_up`.
  void Append(claims_record record, absl::Time give_up, append_done done);

  /// Reads up to the end of the stream, so that later claims are quick.
  void CatchUp();

  /// Whether nothing waits here.
  bool Idle() const;

  const claim_index& Index() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_PARTITION_H_
