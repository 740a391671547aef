#ifndef ANVILRIDGE_MEMBERSHIP_MEMBER_TABLE_H_
#define ANVILRIDGE_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "membership/membership_service.h"

namespace anvilridge {

/// What one daemon says of another, or of itself.
struct member_update {
  owner_id id;
  /// Raised by a daemon that denies a suspicion; it keeps its incarnation, and
  /// with it what it holds.
  uint32_t refutation = 0;
  member_state state = member_state::alive;
  /// Planned stop announced; never taken back within an incarnation.
  bool leaving = false;
  std::string peer_address;
  std::string failure_domain;
  int64_t config_offset = 0;
  /// How long ago a verdict `dead` or `left` was reached.
  absl::Duration verdict_age;
};

/// One member as this daemon knows it.
struct member_entry {
  member_update update;
  /// When the state last changed, by the local monotonic clock.
  absl::Time since;
  /// When the current incarnation was first heard of.
  absl::Time incarnation_since;
  /// When a verdict was reached by whoever reached it.
  absl::Time verdict_time = absl::InfiniteFuture();
  /// How often the update was passed on.
  int times_sent = 0;
};

/// All members known to one daemon, itself included.
struct member_table {
  std::string self;
  std::map<std::string, member_entry, std::less<>> members;
};

enum class merge_result {
  /// Nothing new.
  ignored,
  changed,
  /// A suspicion of this daemon was denied.
  refuted,
  /// This daemon's incarnation was declared dead or superseded: it must take
  /// one above `HighestIncarnation`.
  self_expired,
};

/// Whether `a` is stronger than `b` about the same daemon: a higher
/// incarnation, then a verdict (left over dead), then a higher refutation, then
/// suspect over alive.
bool Overrides(const member_update& a, const member_update& b);

/// Returns a table that holds this daemon only.
member_table MakeMemberTable(const member_update& self, absl::Time now);

/// Merges what was heard.
merge_result MergeUpdate(member_table& table, const member_update& heard,
                         absl::Time now);

/// Returns the entry of this daemon.
member_entry& SelfEntry(member_table& table);

/// Replaces this daemon's incarnation with a higher one.
void TakeIncarnation(member_table& table, uint64_t incarnation, absl::Time now);

/// Forgets verdicts older than `memory`.
void ForgetOldVerdicts(member_table& table, absl::Duration memory,
                       absl::Time now);

/// Returns the number of members that are alive or suspect.
int CountRunning(const member_table& table);

/// Whether `state` says that the process still runs.
constexpr bool IsRunning(member_state state) {
  return state == member_state::alive || state == member_state::suspect;
}

/// Whether `owner` may still act. False once a dead verdict or a higher
/// incarnation has been known for `lease`, or its daemon has said that it left;
/// nothing when this incarnation was never heard of.
std::optional<bool> OwnerLive(const member_table& table, const owner_id& owner,
                              absl::Duration lease, absl::Time now);

/// Returns the public view of an entry.
member MemberView(const member_entry& entry);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_MEMBER_TABLE_H_
