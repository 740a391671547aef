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

/// An upstream as it is known here.
struct registered_upstream {
  fleet_upstream upstream;
  /// Offset of the record that says so; older records are passed over.
  int64_t offset = -1;
  /// Set when its entry was removed while the store may have been away: until
  /// then it counts as registered.
  std::optional<absl::Time> lapses_at;
};

/// The upstreams that registered themselves, from the records of the store.
/// Entries that lapse because the store was away come back by themselves, so
/// removals around an outage take effect only after a grace.
struct upstream_registry {
  std::map<std::string, registered_upstream, std::less<>> upstreams;
  /// Offsets of removals, so that an older record doesn't bring an id back.
  std::map<std::string, int64_t, std::less<>> removed;
  bool store_away = false;
  absl::Time store_returned = absl::InfinitePast();
};

/// How long after the store's return a lapsed entry may take to come back.
inline constexpr absl::Duration kReturnGrace = absl::Milliseconds(2200);

/// How long removals of many entries at once wait for their return when no
/// outage was seen: half of the shortest bound on work for leaving upstreams.
inline constexpr absl::Duration kMassRemovalGrace = absl::Seconds(1);

/// Removals of one batch from which on they look like a lapse, as a share of
/// all upstreams.
inline constexpr double kMassRemovalShare = 0.4;

/// Notes that the store does not answer, or that it answers again.
void NoteStoreLost(upstream_registry& registry);
void NoteStoreReturned(upstream_registry& registry, absl::Time now);

/// One change of one entry; without a value, a removal. An entry that can't be
/// read names no upstream and counts as a removal.
struct upstream_change {
  std::string id;
  std::optional<fleet_upstream> upstream;
  int64_t offset = 0;
};

/// Applies a batch of changes in order.
void ApplyChanges(upstream_registry& registry,
                  const std::vector<upstream_change>& changes, absl::Time now);

/// Applies a full listing that was read up to offset `end`: what is not in it
/// and is older than `end` has been removed.
void ApplyListing(upstream_registry& registry,
                  const std::vector<upstream_change>& listing, int64_t end,
                  absl::Time now);

/// Removes what has not come back in time.
/// @return the ids removed.
std::vector<std::string> RemoveLapsed(upstream_registry& registry,
                                      absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_UPSTREAM_REGISTRY_H_
