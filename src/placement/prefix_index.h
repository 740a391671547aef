#ifndef ANVILRIDGE_PLACEMENT_PREFIX_INDEX_H_
#define ANVILRIDGE_PLACEMENT_PREFIX_INDEX_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "upstreams/engine_client.h"

namespace anvilridge {

/// Tokens in one block of a prompt prefix. A block is 256 characters long.
inline constexpr int kTokensPerPrefixBlock = 64;

/// Lifetimes and size limits of the entries in a `prefix_index`.
struct prefix_index_policy {
  /// Lifetime of an entry, counted from the event that stored the prefix or
  /// from the last prefill placed with it.
  absl::Duration entry_lifetime = absl::Seconds(60);
  /// Lifetime of an entry for an engine whose cache events are not followed,
  /// and whose evictions therefore go unreported.
  absl::Duration unconfirmed_lifetime = absl::Seconds(3);
  /// Maximum number of prefixes in the index; the oldest are evicted first.
  size_t max_prefixes = 32768;
  /// Maximum number of engines kept for each prefix; the one added first is
  /// dropped first.
  size_t max_holders = 4;
  /// An entry becomes suspect, and is ignored, when more of the engine's events
  /// have been missed since the entry was made than this share of the engine's
  /// cached prefixes. At that limit, the entry's own eviction is among the
  /// missed events with a probability of half this share.
  double max_missed_share = 0.5;
};

/// Progress of one engine's cache event feed.
struct cache_feed {
  /// Identifies the engine within the index; never reused.
  int id = 0;
  /// Sequence number of the last event received; negative before the first
  /// reply of the feed.
  int64_t last_seq = -1;
  /// Number of events that were never received, counted from the gaps in the
  /// sequence numbers.
  int64_t missed_events = 0;
  /// Number of prefixes in the engine's cache according to the received
  /// events.
  int64_t cached_prefixes = 0;
};

/// An engine that may have a prefix cached.
struct prefix_holder {
  /// `cache_feed::id` of the engine.
  int engine_id = 0;
  absl::Time expires;
  /// Value of `cache_feed::missed_events` when the entry was made.
  int64_t missed_before = 0;
};

/// Maps prompt prefixes to the prefill engines that may have them cached. The
/// entries are estimates: they come from cache events, which arrive late and
/// with gaps, and from the prefills that this daemon has placed. The size is
/// limited by `prefix_index_policy`.
struct prefix_index {
  /// Event feeds by engine name.
  std::map<std::string, cache_feed, std::less<>> feeds;
  /// Engines by prefix hash; a prefix without engines keeps an empty list.
  absl::flat_hash_map<uint64_t, absl::InlinedVector<prefix_holder, 2>> holders;
  /// The keys of `holders`, oldest first. A prefix that is stored again keeps
  /// its position.
  std::deque<uint64_t> insertion_order;
  /// Engine names by `cache_feed::id`.
  absl::flat_hash_map<int, std::string> engine_names;
  int next_id = 0;
};

/// Applies one reply of the event feed of `engine` to the index. A sequence
/// number lower than the last one means that the feed has restarted: all
/// earlier entries of the engine are discarded. Gaps in the sequence numbers
/// make older entries suspect.
void ApplyCacheEvents(prefix_index& index, absl::string_view engine,
                      const cache_events& reply,
                      const prefix_index_policy& policy, absl::Time now);

/// Records that a prefill of a prompt with `prefixes` was placed at `engine`,
/// so that the engine is expected to have them cached.
void RecordExpectedPrefixes(prefix_index& index, absl::string_view engine,
                            absl::Span<const uint64_t> prefixes,
                            const prefix_index_policy& policy, absl::Time now);

/// Removes an engine from the index; unknown engines are ignored.
void RemoveEngine(prefix_index& index, absl::string_view engine);

/// Estimates how many leading blocks of the prompt `engine` has cached. A
/// single unrecorded block between recorded ones counts as cached, since the
/// event that stored it may have been lost.
int EstimateCachedBlocks(const prefix_index& index, absl::string_view engine,
                         absl::Span<const uint64_t> prefixes,
                         const prefix_index_policy& policy, absl::Time now);

/// Returns the names of the engines that probably have the first block of the
/// prompt cached, at most `policy.max_holders`.
std::vector<std::string> FindLikelyHolders(const prefix_index& index,
                                           absl::Span<const uint64_t> prefixes,
                                           const prefix_index_policy& policy,
                                           absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_PREFIX_INDEX_H_
