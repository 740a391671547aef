#ifndef ANVILRIDGE_CLAIMS_CLAIM_INDEX_H_
#define ANVILRIDGE_CLAIMS_CLAIM_INDEX_H_

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "claims/claim_record.h"
#include "infrastructure/log_client.h"

namespace anvilridge {

/// State of a claim in the log.
enum class claim_state {
  /// Holds its key without a stored outcome. The call may have been sent or may
  /// still be sent.
  held,
  /// Holds its key, and the outcome of the call is in the log.
  settled,
  /// Released by its holder; the call is never sent.
  released,
  /// Appended while another claim held the key; the call is never sent.
  denied,
};

/// Claim as read from the log.
struct claim_entry {
  claim_state state = claim_state::held;
  /// Team and key, joined; empty for a release without an earlier claim.
  std::string qualified_key;
  /// Route and body hash, joined; must be the same in all calls with a key.
  std::string request_fingerprint;
  /// Offset of the first record with this claim's id; the fencing number.
  int64_t offset = 0;
  /// Log time of the first record with this claim's id, or of its outcome if
  /// that is later.
  absl::Time time;
  /// Time after the claim's log time in which the holder may send the call and
  /// wait for the response.
  absl::Duration window;
  /// Offset of the outcome record if the claim is settled.
  int64_t outcome_offset = 0;
};

/// Claims of one partition, computed by applying its records in log order.
/// Response bodies are not stored here but read from the log on demand, so that
/// an entry has a fixed size. An entry is removed after its records have
/// expired from the log.
struct claim_index {
  /// Offset of the next record to apply.
  int64_t next_offset = 1;
  /// Earliest time from which the log still has every record.
  absl::Time complete_since = absl::InfinitePast();
  /// Value of `complete_since` when expired claims were last removed.
  absl::Time removed_until = absl::InfinitePast();
  /// Claims by claim id.
  absl::flat_hash_map<std::string, claim_entry> claims;
  /// Id of the claim that holds each qualified key; a free key has no entry.
  absl::flat_hash_map<std::string, std::string> holding_claims;
  /// Number of records that were skipped because they can't be decoded.
  int64_t malformed_records = 0;
};

/// Verdict of the log on a claim.
enum class claim_verdict {
  /// No claim holds the key, so the claim may be appended.
  free,
  /// The claim itself holds the key.
  granted,
  /// Another claim holds the key, and its outcome is stored.
  settled,
  /// Another claim holds the key, and its window is still open.
  in_progress,
  /// Another claim holds the key; its window has ended without an outcome.
  outcome_unknown,
  /// Another claim holds the key for another route or body.
  conflict,
  /// No other claim holds the key, but the claim itself was released, denied or
  /// already settled and can't be granted any more.
  lost,
};

/// Verdict on a claim and its details.
struct claim_decision {
  claim_verdict verdict = claim_verdict::free;
  /// If `settled`, the offset of the outcome record; if `lost`, the offset of
  /// the claim itself; 0 if `free` or `conflict`; otherwise the offset of the
  /// claim that holds the key.
  int64_t offset = 0;
  /// If `in_progress`, the time until the window of the holding claim ends.
  absl::Duration remaining;
};

/// Updates `index` by one record of the partition. Every record must be applied
/// once, in log order; one that can't be decoded is counted and skipped.
void ApplyClaimsRecord(claim_index& index, const log_record& record);

/// Advances the time from which the log still has every record. Removes the
/// claims whose records have expired, at most once per minute of log time.
void AdvanceCompleteSince(claim_index& index, absl::Time complete_since);

/// Returns the verdict on the claim `request` according to the records applied
/// so far. `wall_now` is compared with the log's timestamps.
claim_decision DecideClaim(const claim_index& index,
                           const claim_record& request, absl::Time wall_now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_INDEX_H_
