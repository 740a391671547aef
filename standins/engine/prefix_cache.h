#ifndef ANVILRIDGE_STANDINS_ENGINE_PREFIX_CACHE_H_
#define ANVILRIDGE_STANDINS_ENGINE_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

constexpr int kTokensPerPiece = 16;
constexpr int kCharactersPerToken = 4;
constexpr int kBlockCharacters = 256;
constexpr int kBlockTokens = kBlockCharacters / kCharactersPerToken;
constexpr int kBlockPieces = kBlockTokens / kTokensPerPiece;

/// One change of the cache as it is published.
struct prefix_event {
  int64_t seq = 0;
  bool stored = false;
  uint64_t prefix = 0;
  /// Not shown before this time.
  absl::Time visible_at;
};

/// Prefixes of prompts whose KV cache is kept, in blocks of 256 characters.
struct prefix_cache {
  int capacity_blocks = 0;
  absl::Duration event_lag;
  /// Share of events that are never published.
  double event_loss = 0;
  /// Least recently used first.
  std::list<uint64_t> by_use;
  std::map<uint64_t, std::list<uint64_t>::iterator> blocks;
  std::deque<prefix_event> events;
  int64_t last_seq = 0;
  std::mt19937_64 random;
};

/// Returns the hash of each prefix of whole blocks: entry k covers the first
/// 256·(k+1) bytes of `prompt`.
std::vector<uint64_t> PrefixHashes(absl::string_view prompt);

/// Returns how many leading blocks are cached, and marks them as used.
int CachedBlocks(prefix_cache& cache, const std::vector<uint64_t>& hashes);

/// Stores all blocks of a prompt, evicting the least recently used ones.
void StorePrefix(prefix_cache& cache, const std::vector<uint64_t>& hashes,
                 absl::Time now);

/// Events after sequence number `after` that are visible by now.
struct visible_events {
  std::vector<prefix_event> events;
  int64_t last_seq = 0;
};
visible_events EventsAfter(const prefix_cache& cache, int64_t after,
                           absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_ENGINE_PREFIX_CACHE_H_
