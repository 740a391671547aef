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

/// Tokens in one block of a prompt prefix: 256 characters.
inline constexpr int kTokensPerPrefixBlock = 64;

/// Bounds of what is believed of the engines' prefix caches.
struct prefix_policy {
  /// How long an entry is believed after its event or its last use.
  absl::Duration life = absl::Seconds(60);
  /// The same for an engine whose events are not followed, so that nothing
  /// would tell of an eviction.
  absl::Duration expected_life = absl::Seconds(3);
  /// Prefixes kept; the oldest go first.
  size_t most_prefixes = 32768;
  /// Engines kept for each prefix.
  size_t most_holders = 4;
  /// Missing events, as a share of an engine's known entries, from which on
  /// what was known before them is doubted: one that may be the entry's
  /// eviction is missing with half this probability.
  double doubted_share = 0.5;
};

/// Counts of one engine's events.
struct cache_feed {
  int id = 0;
  /// Number of the last event seen; negative before the first answer.
  int64_t last_seq = -1;
  /// Events that never came.
  int64_t missing = 0;
  /// Entries believed, as far as events tell.
  int64_t entries = 0;
};

/// An engine that may have a prefix cached.
struct prefix_holder {
  int engine = 0;
  absl::Time until;
  /// The feed's `missing` when the entry was made.
  int64_t missing_before = 0;
};

/// Which prefill engines may have which prompt prefixes cached: a hint from
/// events that come late and with gaps, and from prefills placed here. Bounded.
struct prefix_index {
  std::map<std::string, cache_feed, std::less<>> feeds;
  absl::flat_hash_map<uint64_t, absl::InlinedVector<prefix_holder, 2>> holders;
  /// Prefixes by age; one that came back keeps its old place.
  std::deque<uint64_t> by_age;
  absl::flat_hash_map<int, std::string> names;
  int next_id = 0;
};

/// Takes in one answer of an engine's event feed. A feed that went back was
/// begun anew: what was known of the engine is forgotten. Gaps make older
/// entries doubtful.
void ApplyCacheEvents(prefix_index& index, absl::string_view engine,
                      const cache_events& answer, const prefix_policy& policy,
                      absl::Time now);

/// Notes that a prefill of a prompt with `prefixes` was placed at `engine`,
/// which then has them.
void ExpectPrefixes(prefix_index& index, absl::string_view engine,
                    absl::Span<const uint64_t> prefixes,
                    const prefix_policy& policy, absl::Time now);

/// Forgets an engine; unknown ones are ignored.
void ForgetEngine(prefix_index& index, absl::string_view engine);

/// Returns how many leading blocks `engine` is believed to have cached. One
/// unknown block between known ones is taken for a lost event.
int BelievedBlocks(const prefix_index& index, absl::string_view engine,
                   absl::Span<const uint64_t> prefixes,
                   const prefix_policy& policy, absl::Time now);

/// Returns the engines believed to have the beginning of the prompt cached, at
/// most `policy.most_holders`.
std::vector<std::string> LikelyHolders(const prefix_index& index,
                                       absl::Span<const uint64_t> prefixes,
                                       const prefix_policy& policy,
                                       absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_PREFIX_INDEX_H_
