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

namespace anvilridge {

/// Upstream with the state of its registration.
struct registered_upstream {
  fleet_upstream upstream;
  /// Offset of the record that registered it; older records are ignored.
  int64_t offset = -1;
  /// Set if the store removed the entry, but perhaps only because of an outage.
  /// The upstream counts as registered until this time.
  std::optional<absl::Time> expires_at;
};

/// Upstreams that have registered themselves, from the records of the store.
/// Upstreams whose entries expire because of an outage of the store register
/// again, so removals around an outage take effect only after a grace period.
struct upstream_registry {
  /// By upstream id.
  std::map<std::string, registered_upstream, std::less<>> upstreams;
  /// Offset of the newest removal of each id, so that an older record doesn't
  /// register the id again.
  std::map<std::string, int64_t, std::less<>> removed;
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
  int64_t offset = 0;
  /// Whether the entry can't be parsed. It replaces the entry of an upstream at
  /// once: unlike a removal, it can't be caused by an outage.
  bool unreadable = false;
};

/// Applies a batch of changes in order.
void ApplyChanges(upstream_registry& registry,
                  const std::vector<upstream_change>& changes, absl::Time now);

/// Applies a full listing of the entries up to offset `end`. Removes the
/// entries with older offsets that are missing from the listing.
void ApplyListing(upstream_registry& registry,
                  const std::vector<upstream_change>& listing, int64_t end,
                  absl::Time now);

/// Removes the upstreams whose grace period is over at `now`.
/// @return the ids of the removed upstreams.
std::vector<std::string> RemoveExpired(upstream_registry& registry,
                                       absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_UPSTREAM_REGISTRY_H_
