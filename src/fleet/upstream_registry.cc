#include "fleet/upstream_registry.h"

#include <algorithm>

namespace anvilridge {
namespace {

absl::Time LapseTime(const upstream_registry& registry, bool mass,
                     absl::Time now) {
  if (registry.store_away) return absl::InfiniteFuture();
  const absl::Time after_return = registry.store_returned + kReturnGrace;
  if (now < after_return) return after_return;
  return mass ? now + kMassRemovalGrace : now;
}

void Remove(upstream_registry& registry, absl::string_view id, int64_t offset,
            bool mass, absl::Time now) {
  int64_t& removed = registry.removed[std::string(id)];
  removed = std::max(removed, offset);
  const auto found = registry.upstreams.find(id);
  if (found == registry.upstreams.end() || found->second.lapses_at) return;
  const absl::Time lapse = LapseTime(registry, mass, now);
  // One that has said that it leaves does not come back.
  if (lapse <= now || found->second.upstream.draining) {
    registry.upstreams.erase(found);
    return;
  }
  found->second.lapses_at = lapse;
}

void Put(upstream_registry& registry, const upstream_change& change) {
  const auto removed = registry.removed.find(change.id);
  if (removed != registry.removed.end()) {
    if (removed->second >= change.offset) return;
    registry.removed.erase(removed);
  }
  registered_upstream& entry = registry.upstreams[change.id];
  if (entry.offset >= change.offset) return;
  entry = {*change.upstream, change.offset, std::nullopt};
}

bool IsMass(const upstream_registry& registry, size_t removals) {
  return removals >= 2 &&
         static_cast<double>(removals) >=
             kMassRemovalShare * static_cast<double>(registry.upstreams.size());
}

// Whether `change` is newer than what is known of its id.
bool IsNews(const upstream_registry& registry, const upstream_change& change) {
  const auto found = registry.upstreams.find(change.id);
  return found != registry.upstreams.end() &&
         found->second.offset < change.offset;
}

}  // namespace

void NoteStoreLost(upstream_registry& registry) { registry.store_away = true; }

void NoteStoreReturned(upstream_registry& registry, absl::Time now) {
  registry.store_away = false;
  registry.store_returned = now;
  for (auto& [id, entry] : registry.upstreams) {
    if (entry.lapses_at) entry.lapses_at = now + kReturnGrace;
  }
}

void ApplyChanges(upstream_registry& registry,
                  const std::vector<upstream_change>& changes, absl::Time now) {
  size_t removals = 0;
  for (const upstream_change& change : changes) {
    if (!change.upstream && IsNews(registry, change)) ++removals;
  }
  const bool mass = IsMass(registry, removals);
  for (const upstream_change& change : changes) {
    if (change.upstream) {
      Put(registry, change);
      continue;
    }
    const auto found = registry.upstreams.find(change.id);
    if (found != registry.upstreams.end() &&
        found->second.offset > change.offset) {
      continue;
    }
    Remove(registry, change.id, change.offset, mass, now);
  }
}

void ApplyListing(upstream_registry& registry,
                  const std::vector<upstream_change>& listing, int64_t end,
                  absl::Time now) {
  std::set<std::string, std::less<>> listed;
  for (const upstream_change& change : listing) {
    listed.insert(change.id);
    if (change.upstream) Put(registry, change);
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : registry.upstreams) {
    if (!listed.contains(id) && entry.offset < end) missing.push_back(id);
  }
  const bool mass = IsMass(registry, missing.size());
  for (const std::string& id : missing) {
    Remove(registry, id, registry.upstreams.find(id)->second.offset, mass, now);
  }
  for (const upstream_change& change : listing) {
    const auto found = registry.upstreams.find(change.id);
    if (!change.upstream && found != registry.upstreams.end() &&
        found->second.offset < change.offset) {
      Remove(registry, change.id, change.offset, mass, now);
    }
  }
}

std::vector<std::string> RemoveLapsed(upstream_registry& registry,
                                      absl::Time now) {
  std::vector<std::string> lapsed;
  for (const auto& [id, entry] : registry.upstreams) {
    if (entry.lapses_at && *entry.lapses_at <= now) lapsed.push_back(id);
  }
  for (const std::string& id : lapsed) registry.upstreams.erase(id);
  return lapsed;
}

}  // namespace anvilridge
