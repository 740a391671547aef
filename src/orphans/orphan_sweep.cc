#include "orphans/orphan_sweep.h"

#include <utility>

namespace anvilridge {
namespace {

// Returns the grace that applies, or nothing while the owner lives. An owner
// that can't be parsed is treated as one never heard of.
std::optional<absl::Duration> GraceFor(const engine_request& row,
                                       const owner_check& is_live,
                                       const orphan_policy& policy) {
  const std::optional<owner_id> owner = ParseOwner(row.owner);
  if (!owner) return policy.stranger_grace;
  const std::optional<bool> live = is_live(*owner);
  if (!live) return policy.stranger_grace;
  if (*live) return std::nullopt;
  return policy.resume_grace;
}

}  // namespace

std::vector<engine_request> FindOrphans(orphan_watch& watch,
                                        absl::Span<const engine_request> listed,
                                        const owner_check& is_live,
                                        const orphan_policy& policy,
                                        absl::Time now) {
  std::vector<engine_request> orphans;
  std::map<std::string, watched_orphan, std::less<>> still;
  for (const engine_request& row : listed) {
    const auto grace = GraceFor(row, is_live, policy);
    if (!grace) continue;
    const auto seen = watch.watched.find(row.request_id);
    const absl::Time since =
        seen == watch.watched.end() ? now : seen->second.since;
    still[row.request_id] = {since, row.owner, row.pieces};
    if (now - since >= *grace) orphans.push_back(row);
  }
  watch.watched = std::move(still);
  return orphans;
}

}  // namespace anvilridge
