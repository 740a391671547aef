#include "orphans/orphan_sweep.h"

#include <utility>

namespace anvilridge {
namespace {

// Returns the grace period of a request, or nullopt if its owner is live. An
// owner that can't be parsed is treated as unknown.
std::optional<absl::Duration> GraceFor(const engine_request& row,
                                       const owner_liveness_check& is_live,
                                       const orphan_policy& policy) {
  const std::optional<owner_id> owner = ParseOwner(row.owner);
  if (!owner) return policy.unknown_owner_grace;
  const std::optional<bool> live = is_live(*owner);
  if (!live) return policy.unknown_owner_grace;
  if (*live) return std::nullopt;
  return policy.resume_grace;
}

}  // namespace

std::vector<engine_request> FindOrphans(orphan_watch& watch,
                                        absl::Span<const engine_request> listed,
                                        const owner_liveness_check& is_live,
                                        const orphan_policy& policy,
                                        absl::Time now) {
  std::vector<engine_request> orphans;
  std::map<std::string, watched_orphan, std::less<>> still_watched;
  for (const engine_request& row : listed) {
    const auto grace = GraceFor(row, is_live, policy);
    if (!grace) continue;
    const auto earlier = watch.watched.find(row.request_id);
    const absl::Time since =
        earlier == watch.watched.end() ? now : earlier->second.since;
    still_watched[row.request_id] = {since, row.owner, row.pieces};
    if (now - since >= *grace) orphans.push_back(row);
  }
  watch.watched = std::move(still_watched);
  return orphans;
}

}  // namespace anvilridge
