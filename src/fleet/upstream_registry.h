#ifndef ANVILRIDGE_FLEET_UPSTREAM_REGISTRY_H_
#define ANVILRIDGE_FLEET_UPSTREAM_REGISTRY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "fleet/fleet_upstream.h"
#include "fleet/store_position.h"

namespace anvilridge {

/// Upstream with the state of its registration.
struct registered_upstream {
  fleet_upstream upstream;
  /// Position of the record that registered it; older records are ignored.
  store_position position = {store_era::none, -1};
  /// Set if the store removed the entry, but perhaps only because of an outage.
  /// The upstream counts as registered until this time.
  std::optional<absl::Time> expires_at;
  /// Position of the record since which a draining upstream is known to leave.
  store_position draining_at = {store_era::none, -1};
};

/// Removal of an upstream that was in the store.
struct upstream_removal {
  /// Position of the record that removed it, or of the entry that a listing
  /// lacked.
  store_position position = {store_era::none, -1};
  /// Start of the removed instance; 0 if it isn't known.
  int64_t started_ms = 0;
};

/// Upstream that the store has again after it came back from an older copy,
/// though its removal is known.
struct returned_upstream {
  registered_upstream entry;
  /// When it counts as registered unless the store removes it before.
  absl::Time registered_at;
};

/// Upstreams that have registered themselves, from the records of the store.
/// Upstreams whose entries expire because of an outage of the store register
/// again, so removals around an outage take effect only after a grace period.
struct upstream_registry {
  /// By upstream id.
  std::map<std::string, registered_upstream, std::less<>> upstreams;
  /// Newest removal of each id, so that an older record doesn't register the id
  /// again.
  std::map<std::string, upstream_removal, std::less<>> removed;
  /// By upstream id.
  std::map<std::string, returned_upstream, std::less<>> returned;
  /// Whether the store is unavailable.
  bool store_lost = false;
  /// When the last outage of the store ended.
  absl::Time store_returned = absl::InfinitePast();
};

/// Time after an outage of the store within which an upstream whose entry
/// expired may register again.
inline constexpr absl::Duration kReturnGrace = absl::Milliseconds(2200);

/// Grace period for removals of many entries at once when no outage was
/// detected. Half of the shortest bound on work for leaving upstreams.
inline constexpr absl::Duration kMassRemovalGrace = absl::Seconds(1);

/// Fraction of all upstreams from which on removals in one batch are treated as
/// caused by an outage.
inline constexpr double kMassRemovalFraction = 0.4;

/// Time after the listing of a new era for which a removed upstream that the
/// listing contains gets no requests. The store removes an upstream that is
/// silent for three of its updates, which are 1.2 s apart.
inline constexpr absl::Duration kReturnedEntryGrace = absl::Seconds(5);

/// Records that the store is unavailable. Removals don't take effect meanwhile,
/// except those of draining upstreams.
void RecordStoreLost(upstream_registry& registry);

/// Records that the store is available again, and starts the grace period of
/// the removals that are pending.
void RecordStoreReturned(upstream_registry& registry, absl::Time now);

/// Change of one entry in the store.
struct upstream_change {
  std::string id;
  /// Nullopt for a removal, and for an entry that can't be parsed.
  std::optional<fleet_upstream> upstream;
  store_position position;
  /// Whether the entry can't be parsed. It replaces the entry of an upstream at
  /// once: unlike a removal, it can't be caused by an outage.
  bool unreadable = false;
};

/// Applies a batch of changes in order.
void ApplyChanges(upstream_registry& registry,
                  const std::vector<upstream_change>& changes, absl::Time now);

/// Applies a full listing of the entries up to `end`. Removes the entries with
/// older positions that are missing from the listing.
///
/// The first listing of an era may be of an older copy of the store: an
/// upstream that was draining stays so, also where it is written again as it
/// was before within `kReturnGrace`, and one that was removed gets no requests
/// for `kReturnedEntryGrace` unless a later record names it. Neither holds for
/// one that has started anew.
void ApplyListing(upstream_registry& registry,
                  const std::vector<upstream_change>& listing,
                  store_position end, absl::Time now);

/// Registers the upstreams that have been in the store for
/// `kReturnedEntryGrace` at `now`.
/// @return their ids.
std::vector<std::string> RegisterReturned(upstream_registry& registry,
                                          absl::Time now);

/// Removes the upstreams whose grace period is over at `now`.
/// @return the ids of the removed upstreams.
std::vector<std::string> RemoveExpired(upstream_registry& registry,
                                       absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_UPSTREAM_REGISTRY_H_
