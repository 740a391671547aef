#include "orphans/ownership_check.h"

#include <utility>

namespace anvilridge {
namespace {

// Removes the denials of requests that the engine no longer lists.
void RemoveUnlistedDenials(denial_watch& watch,
                           absl::Span<const engine_request> listed) {
  std::set<absl::string_view> listed_ids;
  for (const engine_request& row : listed) listed_ids.insert(row.request_id);
  std::erase_if(watch.denials, [&listed_ids](const auto& entry) {
    return !listed_ids.contains(entry.first);
  });
}

}  // namespace

std::vector<ownership_query> CollectOwnershipQueries(
    denial_watch& watch, absl::Span<const engine_request> listed,
    const owner_liveness_check& is_live, const ownership_check_policy& policy) {
  RemoveUnlistedDenials(watch, listed);
  std::map<owner_id, std::vector<std::string>> by_owner;
  for (const engine_request& row : listed) {
    if (row.attached || row.age < policy.min_age) continue;
    const std::optional<owner_id> owner = ParseOwner(row.owner);
    if (!owner || is_live(*owner) != true) continue;
    std::vector<std::string>& ids = by_owner[*owner];
    if (ids.size() < kMaxIdsPerOwnershipQuery) ids.push_back(row.request_id);
  }
  std::vector<ownership_query> queries;
  queries.reserve(by_owner.size());
  for (auto& [owner, ids] : by_owner) {
    queries.push_back({owner, std::move(ids)});
  }
  return queries;
}

std::vector<std::string> ApplyOwnershipReply(
    denial_watch& watch, const ownership_query& query,
    const std::set<std::string>& held, const ownership_check_policy& policy) {
  std::vector<std::string> to_cancel;
  for (const std::string& id : query.request_ids) {
    if (held.contains(id)) {
      watch.denials.erase(id);
      continue;
    }
    owner_denials& denial = watch.denials[id];
    if (denial.owner != query.owner) denial = {query.owner, 0};
    if (++denial.count >= policy.denials) to_cancel.push_back(id);
  }
  return to_cancel;
}

}  // namespace anvilridge
