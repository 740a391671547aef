#include "placement/prefix_index.h"

#include <algorithm>

#include "absl/strings/numbers.h"

namespace anvilridge {
namespace {

// A feed with few entries is not doubted for every missing event.
constexpr double kLeastDoubted = 4;

cache_feed& FeedOf(prefix_index& index, absl::string_view engine) {
  const auto found = index.feeds.find(engine);
  if (found != index.feeds.end()) return found->second;
  cache_feed& feed = index.feeds[std::string(engine)];
  feed.id = index.next_id++;
  index.names[feed.id] = std::string(engine);
  return feed;
}

bool IsBelieved(const prefix_holder& holder, const cache_feed& feed,
                const prefix_policy& policy, absl::Time now) {
  if (holder.until <= now) return false;
  const auto entries = static_cast<double>(feed.entries);
  const double doubted =
      std::max(kLeastDoubted, policy.doubted_share * entries);
  const int64_t missing = feed.missing - holder.missing_before;
  return static_cast<double>(missing) <= doubted;
}

prefix_holder* FindHolder(prefix_index& index, uint64_t prefix, int engine) {
  const auto found = index.holders.find(prefix);
  if (found == index.holders.end()) return nullptr;
  for (prefix_holder& holder : found->second) {
    if (holder.engine == engine) return &holder;
  }
  return nullptr;
}

void DropOldest(prefix_index& index, const prefix_policy& policy) {
  while (index.by_age.size() > policy.most_prefixes) {
    index.holders.erase(index.by_age.front());
    index.by_age.pop_front();
  }
}

void AddHolder(prefix_index& index, uint64_t prefix,
               const prefix_holder& holder, const prefix_policy& policy) {
  const auto [entry, added] = index.holders.try_emplace(prefix);
  if (added) index.by_age.push_back(prefix);
  auto& holders = entry->second;
  if (holders.size() >= policy.most_holders) holders.erase(holders.begin());
  holders.push_back(holder);
  DropOldest(index, policy);
}

void SetHolder(prefix_index& index, uint64_t prefix,
               const prefix_holder& holder, const prefix_policy& policy) {
  prefix_holder* known = FindHolder(index, prefix, holder.engine);
  if (known == nullptr) return AddHolder(index, prefix, holder, policy);
  *known = holder;
}

void RemoveHolder(prefix_index& index, uint64_t prefix, cache_feed& feed) {
  const auto found = index.holders.find(prefix);
  if (found == index.holders.end()) return;
  auto& holders = found->second;
  const auto gone = std::remove_if(
      holders.begin(), holders.end(),
      [&](const prefix_holder& one) { return one.engine == feed.id; });
  holders.erase(gone, holders.end());
  // An empty entry stays until its turn in `by_age`.
}

void ApplyEvent(prefix_index& index, cache_feed& feed, const cache_event& event,
                const prefix_policy& policy, absl::Time now) {
  uint64_t prefix = 0;
  if (!absl::SimpleHexAtoi(event.prefix, &prefix)) return;
  if (!event.stored) {
    RemoveHolder(index, prefix, feed);
    feed.entries = std::max<int64_t>(0, feed.entries - 1);
    return;
  }
  ++feed.entries;
  SetHolder(index, prefix, {feed.id, now + policy.life, feed.missing}, policy);
}

}  // namespace

void ApplyCacheEvents(prefix_index& index, absl::string_view engine,
                      const cache_events& answer, const prefix_policy& policy,
                      absl::Time now) {
  const auto known = index.feeds.find(engine);
  const bool anew =
      known != index.feeds.end() && answer.last_seq < known->second.last_seq;
  if (anew) ForgetEngine(index, engine);
  cache_feed& feed = FeedOf(index, engine);
  for (const cache_event& event : answer.events) {
    if (event.seq <= feed.last_seq) continue;
    if (feed.last_seq >= 0) feed.missing += event.seq - feed.last_seq - 1;
    feed.last_seq = event.seq;
    ApplyEvent(index, feed, event, policy, now);
  }
  if (feed.last_seq >= 0) feed.missing += answer.last_seq - feed.last_seq;
  feed.last_seq = answer.last_seq;
}

void ExpectPrefixes(prefix_index& index, absl::string_view engine,
                    absl::Span<const uint64_t> prefixes,
                    const prefix_policy& policy, absl::Time now) {
  const cache_feed& feed = FeedOf(index, engine);
  const bool followed = feed.last_seq >= 0;
  const absl::Duration life = followed ? policy.life : policy.expected_life;
  for (const uint64_t prefix : prefixes) {
    SetHolder(index, prefix, {feed.id, now + life, feed.missing}, policy);
  }
}

// Its entries match no engine from then on, since ids are not given twice.
void ForgetEngine(prefix_index& index, absl::string_view engine) {
  const auto feed = index.feeds.find(engine);
  if (feed == index.feeds.end()) return;
  index.names.erase(feed->second.id);
  index.feeds.erase(feed);
}

int BelievedBlocks(const prefix_index& index, absl::string_view engine,
                   absl::Span<const uint64_t> prefixes,
                   const prefix_policy& policy, absl::Time now) {
  const auto feed = index.feeds.find(engine);
  if (feed == index.feeds.end()) return 0;
  size_t believed = 0;
  for (size_t block = 0; block < prefixes.size(); ++block) {
    if (block > believed + 1) break;
    const auto found = index.holders.find(prefixes[block]);
    if (found == index.holders.end()) continue;
    for (const prefix_holder& holder : found->second) {
      if (holder.engine != feed->second.id) continue;
      if (IsBelieved(holder, feed->second, policy, now)) believed = block + 1;
    }
  }
  return static_cast<int>(believed);
}

std::vector<std::string> LikelyHolders(const prefix_index& index,
                                       absl::Span<const uint64_t> prefixes,
                                       const prefix_policy& policy,
                                       absl::Time now) {
  std::vector<std::string> names;
  if (prefixes.empty()) return names;
  const auto found = index.holders.find(prefixes.front());
  if (found == index.holders.end()) return names;
  for (const prefix_holder& holder : found->second) {
    const auto name = index.names.find(holder.engine);
    if (name == index.names.end()) continue;
    const cache_feed& feed = index.feeds.at(name->second);
    if (IsBelieved(holder, feed, policy, now)) names.push_back(name->second);
  }
  return names;
}

}  // namespace anvilridge
