#include "orphans/held_check.h"

#include <utility>

namespace anvilridge {
namespace {

void DropUnlisted(held_watch& watch, absl::Span<const engine_request> listed) {
  std::set<absl::string_view> shown;
  for (const engine_request& row : listed) shown.insert(row.request_id);
  std::erase_if(watch.denials, [&shown](const auto& entry) {
    return !shown.contains(entry.first);
  });
}

}  // namespace

std::vector<held_question> HeldQuestions(
    held_watch& watch, absl::Span<const engine_request> listed,
    const owner_check& is_live, const held_policy& policy) {
  DropUnlisted(watch, listed);
  std::map<owner_id, std::vector<std::string>> by_owner;
  for (const engine_request& row : listed) {
    if (row.attached || row.age < policy.youngest) continue;
    const std::optional<owner_id> owner = ParseOwner(row.owner);
    if (!owner || is_live(*owner) != true) continue;
    std::vector<std::string>& ids = by_owner[*owner];
    if (ids.size() < kMaxHeldIds) ids.push_back(row.request_id);
  }
  std::vector<held_question> questions;
  questions.reserve(by_owner.size());
  for (auto& [owner, ids] : by_owner) {
    questions.push_back({owner, std::move(ids)});
  }
  return questions;
}

std::vector<std::string> TakeHeldAnswer(held_watch& watch,
                                        const held_question& question,
                                        const std::set<std::string>& held,
                                        const held_policy& policy) {
  std::vector<std::string> denied;
  for (const std::string& id : question.request_ids) {
    if (held.contains(id)) {
      watch.denials.erase(id);
      continue;
    }
    held_denial& denial = watch.denials[id];
    if (denial.owner != question.owner) denial = {question.owner, 0};
    if (++denial.count >= policy.denials) denied.push_back(id);
  }
  return denied;
}

}  // namespace anvilridge
