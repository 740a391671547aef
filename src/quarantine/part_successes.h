#ifndef ANVILRIDGE_QUARANTINE_PART_SUCCESSES_H_
#define ANVILRIDGE_QUARANTINE_PART_SUCCESSES_H_

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "quarantine/prompt_part.h"

namespace anvilridge {

/// When engines last sent an event for prompts with a part, for the parts of
/// recent requests of one daemon. Kept in two generations, of which the older
/// one is dropped at once, so that memory is bounded.
struct part_successes {
  absl::flat_hash_map<prompt_part, absl::Time> current;
  absl::flat_hash_map<prompt_part, absl::Time> previous;
  /// When `current` was begun.
  absl::Time current_since = absl::InfinitePast();
};

/// Largest number of parts in a generation, and its longest duration. A success
/// is kept for longer than crashes are covered by it.
inline constexpr size_t kMaxPartsPerGeneration = 1 << 16;
inline constexpr absl::Duration kGenerationLength = absl::Seconds(30);

/// Records that an engine has sent an event for a prompt with `part`.
void RecordSuccess(part_successes& successes, prompt_part part, absl::Time now);

/// Returns when that was recorded last, or infinitely past if it isn't known.
absl::Time LastSuccess(const part_successes& successes, prompt_part part);

}  // namespace anvilridge

#endif  // ANVILRIDGE_QUARANTINE_PART_SUCCESSES_H_
