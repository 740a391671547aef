#include "membership/member_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace anvilridge {
namespace {

/// Returns the rank of a verdict, 0 for a running daemon. It is compared before
/// the refutation, so that no refutation overrides a verdict.
int VerdictRank(member_state state) {
  if (state == member_state::dead) return 1;
  if (state == member_state::left) return 2;
  return 0;
}

/// Returns a key by which updates of the same daemon are ordered.
auto Precedence(const member_update& update) {
  const int verdict = VerdictRank(update.state);
  const uint32_t refutation = verdict > 0 ? 0 : update.refutation;
  return std::make_tuple(update.id.incarnation, verdict, refutation,
                         static_cast<int>(update.state));
}

void SetVerdictTime(member_entry& entry, absl::Time now) {
  entry.verdict_time = IsRunning(entry.update.state)
                           ? absl::InfiniteFuture()
                           : now - entry.update.verdict_age;
}

merge_result MergeSelf(member_table& table, const member_update& received) {
  member_entry& self = SelfEntry(table);
  if (received.id.incarnation < self.update.id.incarnation) {
    return merge_result::ignored;
  }
  if (received.id.incarnation > self.update.id.incarnation ||
      !IsRunning(received.state)) {
    return merge_result::self_expired;
  }
  if (!Overrides(received, self.update)) return merge_result::ignored;
  self.update.refutation = received.refutation + 1;
  self.times_sent = 0;
  return merge_result::refuted;
}

merge_result AddMember(member_table& table, const member_update& received,
                       absl::Time now) {
  member_entry entry{received, now, now};
  SetVerdictTime(entry, now);
  table.members.emplace(received.id.daemon, std::move(entry));
  return merge_result::changed;
}

/// Merges the fields that only increase within an incarnation, whichever update
/// overrides the other. Returns whether the entry has changed.
bool MergeMonotonicFields(member_entry& entry, const member_update& received) {
  if (received.id.incarnation != entry.update.id.incarnation) return false;
  bool changed = false;
  if (received.config_offset > entry.update.config_offset) {
    entry.update.config_offset = received.config_offset;
    changed = true;
  }
  if (received.leaving && !entry.update.leaving) {
    entry.update.leaving = true;
    entry.times_sent = 0;
    changed = true;
  }
  return changed;
}

}  // namespace

bool Overrides(const member_update& a, const member_update& b) {
  return Precedence(a) > Precedence(b);
}

member_table MakeMemberTable(const member_update& self, absl::Time now) {
  member_table table;
  table.self = self.id.daemon;
  AddMember(table, self, now);
  return table;
}

merge_result MergeUpdate(member_table& table, const member_update& received,
                         absl::Time now) {
  if (received.id.daemon == table.self) return MergeSelf(table, received);
  const auto found = table.members.find(received.id.daemon);
  if (found == table.members.end()) return AddMember(table, received, now);
  member_entry& entry = found->second;
  const bool fields_changed = MergeMonotonicFields(entry, received);
  if (!Overrides(received, entry.update)) {
    return fields_changed ? merge_result::changed : merge_result::ignored;
  }
  const member_update before = entry.update;
  entry.update = received;
  entry.times_sent = 0;
  if (received.id.incarnation > before.id.incarnation) {
    entry.incarnation_since = now;
  } else {
    entry.update.leaving |= before.leaving;
    entry.update.config_offset =
        std::max(received.config_offset, before.config_offset);
  }
  if (received.state != before.state) entry.since = now;
  SetVerdictTime(entry, now);
  return merge_result::changed;
}

member_entry& SelfEntry(member_table& table) {
  return table.members.find(table.self)->second;
}

void SetSelfIncarnation(member_table& table, uint64_t incarnation,
                        absl::Time now) {
  member_entry& self = SelfEntry(table);
  self.update.id.incarnation = incarnation;
  self.update.refutation = 0;
  self.update.state = member_state::alive;
  self.since = now;
  self.incarnation_since = now;
  self.times_sent = 0;
}

void RemoveOldVerdicts(member_table& table, absl::Duration retention,
                       absl::Time now) {
  for (auto it = table.members.begin(); it != table.members.end();) {
    const bool old = it->second.verdict_time < now - retention;
    it = old ? table.members.erase(it) : std::next(it);
  }
}

int CountRunning(const member_table& table) {
  return static_cast<int>(std::count_if(
      table.members.begin(), table.members.end(),
      [](const auto& item) { return IsRunning(item.second.update.state); }));
}

std::optional<bool> OwnerLiveness(const member_table& table,
                                  const owner_id& owner, absl::Duration lease,
                                  absl::Time now) {
  const auto found = table.members.find(owner.daemon);
  if (found == table.members.end()) return std::nullopt;
  const member_entry& entry = found->second;
  const uint64_t current = entry.update.id.incarnation;
  if (owner.incarnation > current) return std::nullopt;
  if (owner.incarnation < current) {
    return now < entry.incarnation_since + lease;
  }
  if (entry.update.state == member_state::left) return false;
  if (entry.update.state == member_state::dead) {
    return now < entry.since + lease;
  }
  return true;
}

member ToMember(const member_entry& entry) {
  const member_update& update = entry.update;
  return {update.id,     update.peer_address,  update.failure_domain,
          update.state,  update.config_offset, entry.since,
          update.leaving};
}

}  // namespace anvilridge
