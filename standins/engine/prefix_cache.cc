#include "engine/prefix_cache.h"

#include <xxhash.h>

#include <algorithm>

namespace anvilridge {
namespace {

constexpr size_t kMaxEvents = 10000;

void Publish(prefix_cache& cache, bool stored, uint64_t prefix,
             absl::Time now) {
  const int64_t seq = ++cache.last_seq;
  std::uniform_real_distribution<double> chance(0, 1);
  if (chance(cache.random) < cache.event_loss) return;
  cache.events.push_back({seq, stored, prefix, now + cache.event_lag});
  if (cache.events.size() > kMaxEvents) cache.events.pop_front();
}

void Touch(prefix_cache& cache, uint64_t prefix) {
  const auto found = cache.blocks.find(prefix);
  cache.by_use.splice(cache.by_use.end(), cache.by_use, found->second);
}

void EvictOldest(prefix_cache& cache, absl::Time now) {
  const uint64_t prefix = cache.by_use.front();
  cache.by_use.pop_front();
  cache.blocks.erase(prefix);
  Publish(cache, false, prefix, now);
}

}  // namespace

std::vector<uint64_t> PrefixHashes(absl::string_view prompt) {
  std::vector<uint64_t> hashes;
  for (size_t end = kBlockCharacters; end <= prompt.size();
       end += kBlockCharacters) {
    hashes.push_back(XXH64(prompt.data(), end, 0));
  }
  return hashes;
}

int CachedBlocks(prefix_cache& cache, const std::vector<uint64_t>& hashes) {
  const auto missing = std::find_if(
      hashes.begin(), hashes.end(),
      [&](uint64_t prefix) { return cache.blocks.count(prefix) == 0; });
  std::for_each(hashes.begin(), missing,
                [&](uint64_t prefix) { Touch(cache, prefix); });
  return static_cast<int>(missing - hashes.begin());
}

void StorePrefix(prefix_cache& cache, const std::vector<uint64_t>& hashes,
                 absl::Time now) {
  const size_t kept =
      std::min(hashes.size(), static_cast<size_t>(cache.capacity_blocks));
  for (size_t k = 0; k < kept; ++k) {
    if (cache.blocks.count(hashes[k]) > 0) {
      Touch(cache, hashes[k]);
      continue;
    }
    if (static_cast<int>(cache.blocks.size()) >= cache.capacity_blocks) {
      EvictOldest(cache, now);
    }
    cache.blocks[hashes[k]] =
        cache.by_use.insert(cache.by_use.end(), hashes[k]);
    Publish(cache, true, hashes[k], now);
  }
}

visible_events EventsAfter(const prefix_cache& cache, int64_t after,
                           absl::Time now) {
  visible_events visible;
  for (const prefix_event& event : cache.events) {
    if (event.visible_at > now) break;
    visible.last_seq = event.seq;
    if (event.seq > after) visible.events.push_back(event);
  }
  return visible;
}

}  // namespace anvilridge
