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

/// State of one daemon as it is sent in SWIM messages.
struct member_update {
  owner_id id;
  /// Raised by a daemon that refutes a suspicion. Its incarnation stays, and so
  /// do the reservations and claims made under it.
  uint32_t refutation = 0;
  member_state state = member_state::alive;
  /// Whether the daemon has announced a planned stop; stays set until its
  /// incarnation ends.
  bool leaving = false;
  std::string peer_address;
  std::string failure_domain;
  /// Highest configuration offset in force at the daemon.
  int64_t config_offset = 0;
  /// Time since the verdict, that is the state `dead` or `left`, was reached.
  absl::Duration verdict_age;
};

/// One member as recorded by this daemon.
struct member_entry {
  member_update update;
  /// When the state last changed, by the local monotonic clock.
  absl::Time since;
  /// When the current incarnation was first received, by the local monotonic
  /// clock.
  absl::Time incarnation_since;
  /// When the verdict was first reached, here or at another daemon, converted
  /// to the local monotonic clock. Infinite without a verdict.
  absl::Time verdict_time = absl::InfiniteFuture();
  /// How often this daemon has sent the update to others.
  int times_sent = 0;
};

/// All members recorded by one daemon, including itself.
struct member_table {
  /// Name of this daemon.
  std::string self;
  /// By name.
  std::map<std::string, member_entry, std::less<>> members;
};

/// Result of merging a received update into a member table.
enum class merge_result {
  /// The table has not changed.
  ignored,
  /// An entry was added or changed.
  changed,
  /// This daemon has refuted a suspicion of itself.
  refuted,
  /// This daemon's incarnation was declared dead or superseded: it must start
  /// one above that of the update.
  self_expired,
};

/// Returns whether `a` overrides `b`, an update of the same daemon. The first
/// difference decides: a higher incarnation, a verdict (left over dead), a
/// higher refutation, suspect over alive.
bool Overrides(const member_update& a, const member_update& b);

/// Returns a table whose only member is this daemon, in the state `self`.
member_table MakeMemberTable(const member_update& self, absl::Time now);

/// Merges a received update into the table. An update of this daemon never
/// changes its state: a suspicion is refuted, and a verdict or a higher
/// incarnation gives `self_expired`.
merge_result MergeUpdate(member_table& table, const member_update& received,
                         absl::Time now);

/// Returns the entry of this daemon.
member_entry& SelfEntry(member_table& table);

/// Starts `incarnation`, higher than the current one, as this daemon's own.
void SetSelfIncarnation(member_table& table, uint64_t incarnation,
                        absl::Time now);

/// Removes members whose verdict is older than `retention`.
void RemoveOldVerdicts(member_table& table, absl::Duration retention,
                       absl::Time now);

/// Returns the number of members that are alive or suspect.
int CountRunning(const member_table& table);

/// Returns whether a daemon in `state` counts as running.
constexpr bool IsRunning(member_state state) {
  return state == member_state::alive || state == member_state::suspect;
}

/// Returns whether `owner` may still act: false once its dead verdict or a
/// higher incarnation has been recorded for `lease`, or its daemon has left;
/// nullopt if no update of this incarnation or a later one is recorded.
std::optional<bool> OwnerLiveness(const member_table& table,
                                  const owner_id& owner, absl::Duration lease,
                                  absl::Time now);

/// Converts an entry to the public type `member`.
member ToMember(const member_entry& entry);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_MEMBER_TABLE_H_
