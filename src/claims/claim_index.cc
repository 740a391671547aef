#include "claims/claim_index.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kRemovalInterval = absl::Minutes(1);

/// Returns team and key, joined by a newline, which neither can contain.
std::string QualifiedKey(const claim_record& claim) {
  return absl::StrCat(claim.team, "\n", claim.key);
}

std::string RequestFingerprint(const claim_record& claim) {
  return absl::StrCat(claim.route, "\n", claim.body_hash);
}

void ApplyClaim(claim_index& index, const claim_record& claim,
                const log_record& record) {
  // Ignores repeated copies of a claim and claims that were already released.
  if (index.claims.contains(claim.claim_id)) return;
  claim_entry entry;
  entry.qualified_key = QualifiedKey(claim);
  entry.request_fingerprint = RequestFingerprint(claim);
  entry.offset = record.offset;
  entry.time = record.time;
  entry.window = claim.send_window + claim.answer_window;
  const auto [holding_claim, key_was_free] =
      index.holding_claims.try_emplace(entry.qualified_key, claim.claim_id);
  entry.state = key_was_free ? claim_state::held : claim_state::denied;
  index.claims.emplace(claim.claim_id, std::move(entry));
}

void ApplyOutcome(claim_index& index, const outcome_record& outcome,
                  const log_record& record) {
  const auto found = index.claims.find(outcome.claim_id);
  if (found == index.claims.end()) return;
  if (found->second.state != claim_state::held) return;
  found->second.state = claim_state::settled;
  found->second.outcome_offset = record.offset;
  // Keeps the entry for as long as the log keeps the outcome record.
  found->second.time = std::max(found->second.time, record.time);
}

void ApplyRelease(claim_index& index, const release_record& release,
                  const log_record& record) {
  const auto [found, first_record] = index.claims.try_emplace(release.claim_id);
  claim_entry& entry = found->second;
  if (first_record) {
    // The claim record may still be appended later and must then be ignored.
    entry.state = claim_state::released;
    entry.offset = record.offset;
    entry.time = record.time;
    return;
  }
  if (entry.state != claim_state::held) return;
  entry.state = claim_state::released;
  index.holding_claims.erase(entry.qualified_key);
}

claim_decision DecideForHeldKey(const claim_entry& holding_claim,
                                const claim_record& request,
                                absl::Time wall_now) {
  if (holding_claim.request_fingerprint != RequestFingerprint(request)) {
    return {claim_verdict::conflict, 0, {}};
  }
  if (holding_claim.state == claim_state::settled) {
    return {claim_verdict::settled, holding_claim.outcome_offset, {}};
  }
  const absl::Duration remaining =
      holding_claim.time + holding_claim.window - wall_now;
  if (remaining <= absl::ZeroDuration()) {
    return {claim_verdict::outcome_unknown, holding_claim.offset, {}};
  }
  return {claim_verdict::in_progress, holding_claim.offset, remaining};
}

void RemoveExpiredClaims(claim_index& index) {
  const auto expired = [&](const auto& item) {
    return item.second.time < index.complete_since;
  };
  absl::erase_if(index.holding_claims, [&](const auto& item) {
    const auto claim = index.claims.find(item.second);
    return claim == index.claims.end() || expired(*claim);
  });
  absl::erase_if(index.claims, expired);
}

}  // namespace

void ApplyClaimsRecord(claim_index& index, const log_record& record) {
  index.next_offset = record.offset + 1;
  const auto decoded = DecodeClaimsRecord(record.data.toObject());
  if (!decoded.ok()) {
    ++index.malformed_records;
    return;
  }
  if (const auto* claim = std::get_if<claim_record>(&*decoded)) {
    ApplyClaim(index, *claim, record);
  } else if (const auto* outcome = std::get_if<outcome_record>(&*decoded)) {
    ApplyOutcome(index, *outcome, record);
  } else {
    ApplyRelease(index, std::get<release_record>(*decoded), record);
  }
}

void AdvanceCompleteSince(claim_index& index, absl::Time complete_since) {
  index.complete_since = std::max(index.complete_since, complete_since);
  if (index.complete_since < index.removed_until + kRemovalInterval) return;
  index.removed_until = index.complete_since;
  RemoveExpiredClaims(index);
}

claim_decision DecideClaim(const claim_index& index,
                           const claim_record& request, absl::Time wall_now) {
  const auto holding_claim = index.holding_claims.find(QualifiedKey(request));
  if (holding_claim != index.holding_claims.end() &&
      holding_claim->second != request.claim_id) {
    return DecideForHeldKey(index.claims.find(holding_claim->second)->second,
                            request, wall_now);
  }
  const auto own = index.claims.find(request.claim_id);
  if (own == index.claims.end()) return {claim_verdict::free, 0, {}};
  if (own->second.state == claim_state::held) {
    return {claim_verdict::granted, own->second.offset, {}};
  }
  return {claim_verdict::lost, own->second.offset, {}};
}

}  // namespace anvilridge
