#include "fleet/upstream_registry.h"

#include <algorithm>

namespace anvilridge {
namespace {

// Returns the time at which a removal that arrives at `now` takes effect: never
// while the store is unavailable, else after the grace period that applies.
absl::Time ExpiryTime(const upstream_registry& registry, bool is_mass_removal,
                      absl::Time now) {
  if (registry.store_lost) return absl::InfiniteFuture();
  const absl::Time after_return = registry.store_returned + kReturnGrace;
  if (now < after_return) return after_return;
  return is_mass_removal ? now + kMassRemovalGrace : now;
}

// Records that the record at `offset` removed `id`.
void RecordRemoval(upstream_registry& registry, absl::string_view id,
                   int64_t offset) {
  int64_t& newest_removal = registry.removed[std::string(id)];
  newest_removal = std::max(newest_removal, offset);
}

// Records the removal of `id` by the record at `offset`, and removes its entry
// now or after a grace period.
void RemoveEntry(upstream_registry& registry, absl::string_view id,
                 int64_t offset, bool is_mass_removal, absl::Time now) {
  RecordRemoval(registry, id, offset);
  const auto found = registry.upstreams.find(id);
  if (found == registry.upstreams.end() || found->second.expires_at) return;
  const absl::Time expires_at = ExpiryTime(registry, is_mass_removal, now);
  // A draining upstream does not register again.
  if (expires_at <= now || found->second.upstream.draining) {
    registry.upstreams.erase(found);
    return;
  }
  found->second.expires_at = expires_at;
}

// Adds or replaces the entry of an upstream, unless `change` is outdated.
void PutEntry(upstream_registry& registry, const upstream_change& change) {
  const auto newest_removal = registry.removed.find(change.id);
  if (newest_removal != registry.removed.end()) {
    if (newest_removal->second >= change.offset) return;
    registry.removed.erase(newest_removal);
  }
  registered_upstream& entry = registry.upstreams[change.id];
  if (entry.offset >= change.offset) return;
  entry = {*change.upstream, change.offset, std::nullopt};
}

// Removes the entry that an unreadable one has replaced, unless `change` is
// outdated.
void ReplaceByUnreadable(upstream_registry& registry,
                         const upstream_change& change) {
  const auto found = registry.upstreams.find(change.id);
  if (found != registry.upstreams.end()) {
    if (found->second.offset >= change.offset) return;
    registry.upstreams.erase(found);
  }
  RecordRemoval(registry, change.id, change.offset);
}

// Returns whether the removals of one batch are so many that they were probably
// caused by an outage of the store.
bool IsMassRemoval(const upstream_registry& registry, size_t removals) {
  return removals >= 2 &&
         static_cast<double>(removals) >=
             kMassRemovalFraction *
                 static_cast<double>(registry.upstreams.size());
}

// Returns whether `change` concerns a registered upstream and is newer than its
// entry.
bool UpdatesEntry(const upstream_registry& registry,
                  const upstream_change& change) {
  const auto found = registry.upstreams.find(change.id);
  return found != registry.upstreams.end() &&
         found->second.offset < change.offset;
}

}  // namespace

void RecordStoreLost(upstream_registry& registry) {
  registry.store_lost = true;
}

void RecordStoreReturned(upstream_registry& registry, absl::Time now) {
  registry.store_lost = false;
  registry.store_returned = now;
  for (auto& [id, entry] : registry.upstreams) {
    if (entry.expires_at) entry.expires_at = now + kReturnGrace;
  }
}

void ApplyChanges(upstream_registry& registry,
                  const std::vector<upstream_change>& changes, absl::Time now) {
  size_t removals = 0;
  for (const upstream_change& change : changes) {
    if (!change.upstream && !change.unreadable &&
        UpdatesEntry(registry, change)) {
      ++removals;
    }
  }
  const bool is_mass_removal = IsMassRemoval(registry, removals);
  for (const upstream_change& change : changes) {
    if (change.upstream) {
      PutEntry(registry, change);
      continue;
    }
    if (change.unreadable) {
      ReplaceByUnreadable(registry, change);
      continue;
    }
    const auto found = registry.upstreams.find(change.id);
    if (found != registry.upstreams.end() &&
        found->second.offset > change.offset) {
      continue;
    }
    RemoveEntry(registry, change.id, change.offset, is_mass_removal, now);
  }
}

void ApplyListing(upstream_registry& registry,
                  const std::vector<upstream_change>& listing, int64_t end,
                  absl::Time now) {
  std::set<std::string, std::less<>> listed;
  for (const upstream_change& change : listing) {
    listed.insert(change.id);
    if (change.upstream) PutEntry(registry, change);
    if (change.unreadable) ReplaceByUnreadable(registry, change);
  }
  std::vector<std::string> missing_ids;
  for (const auto& [id, entry] : registry.upstreams) {
    if (!listed.contains(id) && entry.offset < end) missing_ids.push_back(id);
  }
  const bool is_mass_removal = IsMassRemoval(registry, missing_ids.size());
  for (const std::string& id : missing_ids) {
    RemoveEntry(registry, id, registry.upstreams.find(id)->second.offset,
                is_mass_removal, now);
  }
  for (const upstream_change& change : listing) {
    const auto found = registry.upstreams.find(change.id);
    if (!change.upstream && !change.unreadable &&
        found != registry.upstreams.end() &&
        found->second.offset < change.offset) {
      RemoveEntry(registry, change.id, change.offset, is_mass_removal, now);
    }
  }
}

std::vector<std::string> RemoveExpired(upstream_registry& registry,
                                       absl::Time now) {
  std::vector<std::string> expired;
  for (const auto& [id, entry] : registry.upstreams) {
    if (entry.expires_at && *entry.expires_at <= now) expired.push_back(id);
  }
  for (const std::string& id : expired) registry.upstreams.erase(id);
  return expired;
}

}  // namespace anvilridge
