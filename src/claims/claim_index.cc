#include "claims/claim_index.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kForgetEvery = absl::Minutes(1);

/// A separator that neither team names nor keys contain.
std::string KeyName(const claim_record& claim) {
  return absl::StrCat(claim.team, "\n", claim.key);
}

std::string RequestHash(const claim_record& claim) {
  return absl::StrCat(claim.route, "\n", claim.body_hash);
}

void FoldClaim(claim_index& index, const claim_record& claim,
               const log_record& record) {
  // A second copy of a claim, or one already given up, changes nothing.
  if (index.claims.contains(claim.claim_id)) return;
  claim_entry entry;
  entry.key_name = KeyName(claim);
  entry.request_hash = RequestHash(claim);
  entry.offset = record.offset;
  entry.time = record.time;
  entry.window = claim.send_window + claim.answer_window;
  const auto [holder, free] =
      index.holders.try_emplace(entry.key_name, claim.claim_id);
  entry.state = free ? claim_state::held : claim_state::denied;
  index.claims.emplace(claim.claim_id, std::move(entry));
}

void FoldOutcome(claim_index& index, const outcome_record& outcome,
                 const log_record& record) {
  const auto found = index.claims.find(outcome.claim_id);
  if (found == index.claims.end()) return;
  if (found->second.state != claim_state::held) return;
  found->second.state = claim_state::settled;
  found->second.outcome_offset = record.offset;
  // Kept as long as the record of its outcome.
  found->second.time = std::max(found->second.time, record.time);
}

void FoldRelease(claim_index& index, const release_record& release,
                 const log_record& record) {
  const auto [found, unseen] = index.claims.try_emplace(release.claim_id);
  claim_entry& entry = found->second;
  if (unseen) {
    // The claim's own append may still take effect after this; it is void.
    entry.state = claim_state::released;
    entry.offset = record.offset;
    entry.time = record.time;
    return;
  }
  if (entry.state != claim_state::held) return;
  entry.state = claim_state::released;
  index.holders.erase(entry.key_name);
}

claim_decision DecideAgainst(const claim_entry& holder,
                             const claim_record& request, absl::Time wall_now) {
  if (holder.request_hash != RequestHash(request)) {
    return {claim_verdict::conflict, 0, {}};
  }
  if (holder.state == claim_state::settled) {
    return {claim_verdict::settled, holder.outcome_offset, {}};
  }
  const absl::Duration remaining = holder.time + holder.window - wall_now;
  if (remaining <= absl::ZeroDuration()) {
    return {claim_verdict::outcome_unknown, holder.offset, {}};
  }
  return {claim_verdict::in_progress, holder.offset, remaining};
}

void ForgetExpired(claim_index& index) {
  const auto expired = [&](const auto& item) {
    return item.second.time < index.complete_since;
  };
  absl::erase_if(index.holders, [&](const auto& item) {
    const auto claim = index.claims.find(item.second);
    return claim == index.claims.end() || expired(*claim);
  });
  absl::erase_if(index.claims, expired);
}

}  // namespace

void FoldRecord(claim_index& index, const log_record& record) {
  index.next = record.offset + 1;
  const auto decoded = DecodeClaimsRecord(record.data.toObject());
  if (!decoded.ok()) {
    ++index.malformed_records;
    return;
  }
  if (const auto* claim = std::get_if<claim_record>(&*decoded)) {
    FoldClaim(index, *claim, record);
  } else if (const auto* outcome = std::get_if<outcome_record>(&*decoded)) {
    FoldOutcome(index, *outcome, record);
  } else {
    FoldRelease(index, std::get<release_record>(*decoded), record);
  }
}

void NoteCompleteSince(claim_index& index, absl::Time complete_since) {
  index.complete_since = std::max(index.complete_since, complete_since);
  if (index.complete_since < index.forgotten_until + kForgetEvery) return;
  index.forgotten_until = index.complete_since;
  ForgetExpired(index);
}

claim_decision Decide(const claim_index& index, const claim_record& request,
                      absl::Time wall_now) {
  const auto holder = index.holders.find(KeyName(request));
  if (holder != index.holders.end() && holder->second != request.claim_id) {
    return DecideAgainst(index.claims.find(holder->second)->second, request,
                         wall_now);
  }
  const auto own = index.claims.find(request.claim_id);
  if (own == index.claims.end()) return {claim_verdict::free, 0, {}};
  if (own->second.state == claim_state::held) {
    return {claim_verdict::granted, own->second.offset, {}};
  }
  return {claim_verdict::lost, own->second.offset, {}};
}

}  // namespace anvilridge
