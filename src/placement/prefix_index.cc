#include "placement/prefix_index.h"

#include <algorithm>

#include "absl/strings/numbers.h"

namespace anvilridge {
namespace {

// Number of missed events that never make an entry suspect. Without it, every
// missed event would do so at an engine with few cached prefixes.
constexpr double kMinToleratedMissedEvents = 4;

cache_feed& FindOrAddFeed(prefix_index& index, absl::string_view engine) {
  const auto found = index.feeds.find(engine);
  if (found != index.feeds.end()) return found->second;
  cache_feed& feed = index.feeds[std::string(engine)];
  feed.id = index.next_id++;
  index.engine_names[feed.id] = std::string(engine);
  return feed;
}

bool IsReliable(const prefix_holder& holder, const cache_feed& feed,
                const prefix_index_policy& policy, absl::Time now) {
  if (holder.expires <= now) return false;
  const auto cached_prefixes = static_cast<double>(feed.cached_prefixes);
  const double tolerated = std::max(kMinToleratedMissedEvents,
                                    policy.max_missed_share * cached_prefixes);
  const int64_t missed_events = feed.missed_events - holder.missed_before;
  return static_cast<double>(missed_events) <= tolerated;
}

prefix_holder* FindHolder(prefix_index& index, uint64_t prefix, int engine_id) {
  const auto found = index.holders.find(prefix);
  if (found == index.holders.end()) return nullptr;
  for (prefix_holder& holder : found->second) {
    if (holder.engine_id == engine_id) return &holder;
  }
  return nullptr;
}

void EvictOldestPrefixes(prefix_index& index,
                         const prefix_index_policy& policy) {
  while (index.insertion_order.size() > policy.max_prefixes) {
    index.holders.erase(index.insertion_order.front());
    index.insertion_order.pop_front();
  }
}

void AddHolder(prefix_index& index, uint64_t prefix,
               const prefix_holder& holder, const prefix_index_policy& policy) {
  const auto [entry, added] = index.holders.try_emplace(prefix);
  if (added) index.insertion_order.push_back(prefix);
  auto& holders = entry->second;
  if (holders.size() >= policy.max_holders) holders.erase(holders.begin());
  holders.push_back(holder);
  EvictOldestPrefixes(index, policy);
}

void SetHolder(prefix_index& index, uint64_t prefix,
               const prefix_holder& holder, const prefix_index_policy& policy) {
  prefix_holder* existing = FindHolder(index, prefix, holder.engine_id);
  if (existing == nullptr) return AddHolder(index, prefix, holder, policy);
  *existing = holder;
}

void RemoveHolder(prefix_index& index, uint64_t prefix, cache_feed& feed) {
  const auto found = index.holders.find(prefix);
  if (found == index.holders.end()) return;
  auto& holders = found->second;
  const auto removed = std::remove_if(
      holders.begin(), holders.end(),
      [&](const prefix_holder& holder) { return holder.engine_id == feed.id; });
  holders.erase(removed, holders.end());
  // An empty list stays in the map until `insertion_order` evicts the prefix.
}

void ApplyEvent(prefix_index& index, cache_feed& feed, const cache_event& event,
                const prefix_index_policy& policy, absl::Time now) {
  uint64_t prefix = 0;
  if (!absl::SimpleHexAtoi(event.prefix, &prefix)) return;
  if (!event.stored) {
    RemoveHolder(index, prefix, feed);
    feed.cached_prefixes = std::max<int64_t>(0, feed.cached_prefixes - 1);
    return;
  }
  ++feed.cached_prefixes;
  SetHolder(index, prefix,
            {feed.id, now + policy.entry_lifetime, feed.missed_events}, policy);
}

}  // namespace

void ApplyCacheEvents(prefix_index& index, absl::string_view engine,
                      const cache_events& reply,
                      const prefix_index_policy& policy, absl::Time now) {
  const auto previous = index.feeds.find(engine);
  const bool restarted = previous != index.feeds.end() &&
                         reply.last_seq < previous->second.last_seq;
  if (restarted) RemoveEngine(index, engine);
  cache_feed& feed = FindOrAddFeed(index, engine);
  for (const cache_event& event : reply.events) {
    if (event.seq <= feed.last_seq) continue;
    if (feed.last_seq >= 0) feed.missed_events += event.seq - feed.last_seq - 1;
    feed.last_seq = event.seq;
    ApplyEvent(index, feed, event, policy, now);
  }
  if (feed.last_seq >= 0) feed.missed_events += reply.last_seq - feed.last_seq;
  feed.last_seq = reply.last_seq;
}

void RecordExpectedPrefixes(prefix_index& index, absl::string_view engine,
                            absl::Span<const uint64_t> prefixes,
                            const prefix_index_policy& policy, absl::Time now) {
  const cache_feed& feed = FindOrAddFeed(index, engine);
  const bool followed = feed.last_seq >= 0;
  const absl::Duration lifetime =
      followed ? policy.entry_lifetime : policy.unconfirmed_lifetime;
  for (const uint64_t prefix : prefixes) {
    SetHolder(index, prefix, {feed.id, now + lifetime, feed.missed_events},
              policy);
  }
}

// The entries in `holders` stay: ids are never reused, so they match no engine
// from now on.
void RemoveEngine(prefix_index& index, absl::string_view engine) {
  const auto feed = index.feeds.find(engine);
  if (feed == index.feeds.end()) return;
  index.engine_names.erase(feed->second.id);
  index.feeds.erase(feed);
}

int EstimateCachedBlocks(const prefix_index& index, absl::string_view engine,
                         absl::Span<const uint64_t> prefixes,
                         const prefix_index_policy& policy, absl::Time now) {
  const auto feed = index.feeds.find(engine);
  if (feed == index.feeds.end()) return 0;
  size_t cached = 0;
  for (size_t block = 0; block < prefixes.size(); ++block) {
    if (block > cached + 1) break;
    const auto found = index.holders.find(prefixes[block]);
    if (found == index.holders.end()) continue;
    for (const prefix_holder& holder : found->second) {
      if (holder.engine_id != feed->second.id) continue;
      if (IsReliable(holder, feed->second, policy, now)) cached = block + 1;
    }
  }
  return static_cast<int>(cached);
}

std::vector<std::string> FindLikelyHolders(const prefix_index& index,
                                           absl::Span<const uint64_t> prefixes,
                                           const prefix_index_policy& policy,
                                           absl::Time now) {
  std::vector<std::string> names;
  if (prefixes.empty()) return names;
  const auto found = index.holders.find(prefixes.front());
  if (found == index.holders.end()) return names;
  for (const prefix_holder& holder : found->second) {
    const auto name = index.engine_names.find(holder.engine_id);
    if (name == index.engine_names.end()) continue;
    const cache_feed& feed = index.feeds.at(name->second);
    if (IsReliable(holder, feed, policy, now)) names.push_back(name->second);
  }
  return names;
}

}  // namespace anvilridge
