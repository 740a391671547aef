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

// Records that the record at `position` removed `id`.
void RecordRemoval(upstream_registry& registry, absl::string_view id,
                   store_position position) {
  upstream_removal& newest = registry.removed[std::string(id)];
  newest.position = std::max(newest.position, position);
  const auto found = registry.upstreams.find(id);
  if (found != registry.upstreams.end()) {
    newest.started_ms = found->second.upstream.started_ms;
  }
  registry.returned.erase(std::string(id));
}

// Records the removal of `id` by the record at `position`, and removes its
// entry now or after a grace period.
void RemoveEntry(upstream_registry& registry, absl::string_view id,
                 store_position position, bool is_mass_removal,
                 absl::Time now) {
  RecordRemoval(registry, id, position);
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

// Returns whether `change` may be older than what is known: whether that is of
// an earlier era, and of the same instance or one whose start isn't known.
bool MayPrecede(const upstream_change& change, store_position known,
                int64_t known_started_ms) {
  return known.era < change.position.era &&
         (known_started_ms == 0 ||
          known_started_ms == change.upstream->started_ms);
}

// Returns whether the upstream of `entry` stays draining though `change` says
// otherwise: an instance that leaves doesn't stay, but around a return of the
// store its entries of before may be written again.
bool StaysDraining(const upstream_registry& registry,
                   const registered_upstream& entry,
                   const upstream_change& change, absl::Time now) {
  if (!entry.upstream.draining || change.upstream->draining) return false;
  const bool in_grace = now < registry.store_returned + kReturnGrace;
  const store_position known = in_grace ? entry.draining_at : entry.position;
  return MayPrecede(change, known, entry.upstream.started_ms);
}

// Adds or replaces the entry of an upstream, unless `change` is outdated.
void PutEntry(upstream_registry& registry, const upstream_change& change,
              absl::Time now) {
  const auto newest_removal = registry.removed.find(change.id);
  if (newest_removal != registry.removed.end()) {
    if (newest_removal->second.position >= change.position) return;
    registry.removed.erase(newest_removal);
  }
  registry.returned.erase(change.id);
  registered_upstream& entry = registry.upstreams[change.id];
  if (entry.position >= change.position) return;
  const bool stays_draining = StaysDraining(registry, entry, change, now);
  const store_position draining_at =
      stays_draining ? entry.draining_at : change.position;
  entry = {*change.upstream, change.position, std::nullopt, draining_at};
  if (stays_draining) entry.upstream.draining = true;
}

// Applies the entry of a listing. Its place in the store doesn't show whether
// it was written before or after a removal that is known of an earlier era.
void PutListedEntry(upstream_registry& registry, const upstream_change& change,
                    absl::Time now) {
  const auto removal = registry.removed.find(change.id);
  if (registry.upstreams.contains(change.id) ||
      removal == registry.removed.end() ||
      !MayPrecede(change, removal->second.position,
                  removal->second.started_ms)) {
    return PutEntry(registry, change, now);
  }
  registry.returned[change.id] = {
      {*change.upstream, change.position, std::nullopt, change.position},
      now + kReturnedEntryGrace};
}

// Removes the entry that an unreadable one has replaced, unless `change` is
// outdated.
void ReplaceByUnreadable(upstream_registry& registry,
                         const upstream_change& change) {
  const auto found = registry.upstreams.find(change.id);
  if (found != registry.upstreams.end()) {
    if (found->second.position >= change.position) return;
  }
  RecordRemoval(registry, change.id, change.position);
  registry.upstreams.erase(change.id);
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
         found->second.position < change.position;
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
      PutEntry(registry, change, now);
      continue;
    }
    if (change.unreadable) {
      ReplaceByUnreadable(registry, change);
      continue;
    }
    const auto found = registry.upstreams.find(change.id);
    if (found != registry.upstreams.end() &&
        found->second.position > change.position) {
      continue;
    }
    RemoveEntry(registry, change.id, change.position, is_mass_removal, now);
  }
}

void ApplyListing(upstream_registry& registry,
                  const std::vector<upstream_change>& listing,
                  store_position end, absl::Time now) {
  std::set<std::string, std::less<>> listed;
  for (const upstream_change& change : listing) {
    listed.insert(change.id);
    if (change.upstream) PutListedEntry(registry, change, now);
    if (change.unreadable) ReplaceByUnreadable(registry, change);
  }
  std::vector<std::string> missing_ids;
  for (const auto& [id, entry] : registry.upstreams) {
    if (!listed.contains(id) && entry.position < end) missing_ids.push_back(id);
  }
  std::erase_if(registry.returned, [&](const auto& returned) {
    return !listed.contains(returned.first) &&
           returned.second.entry.position < end;
  });
  const bool is_mass_removal = IsMassRemoval(registry, missing_ids.size());
  for (const std::string& id : missing_ids) {
    registered_upstream& entry = registry.upstreams.find(id)->second;
    if (entry.upstream.draining && entry.position.era < end.era) {
      // It may be registered again as it was before it left.
      RecordRemoval(registry, id, entry.position);
      entry.expires_at = ExpiryTime(registry, is_mass_removal, now);
      continue;
    }
    RemoveEntry(registry, id, entry.position, is_mass_removal, now);
  }
  for (const upstream_change& change : listing) {
    const auto found = registry.upstreams.find(change.id);
    if (!change.upstream && !change.unreadable &&
        found != registry.upstreams.end() &&
        found->second.position < change.position) {
      RemoveEntry(registry, change.id, change.position, is_mass_removal, now);
    }
  }
}

std::vector<std::string> RegisterReturned(upstream_registry& registry,
                                          absl::Time now) {
  std::vector<std::string> registered;
  for (const auto& [id, returned] : registry.returned) {
    if (returned.registered_at > now) continue;
    registered.push_back(id);
    registry.removed.erase(id);
    registry.upstreams[id] = returned.entry;
  }
  for (const std::string& id : registered) registry.returned.erase(id);
  return registered;
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
