#include "quarantine/part_successes.h"

#include <utility>

namespace anvilridge {

void RecordSuccess(part_successes& successes, prompt_part part,
                   absl::Time now) {
  if (successes.current.size() >= kMaxPartsPerGeneration ||
      now - successes.current_since >= kGenerationLength) {
    successes.previous = std::exchange(successes.current, {});
    successes.current_since = now;
  }
  successes.current[part] = now;
}

absl::Time LastSuccess(const part_successes& successes, prompt_part part) {
  for (const auto* generation : {&successes.current, &successes.previous}) {
    const auto found = generation->find(part);
    if (found != generation->end()) return found->second;
  }
  return absl::InfinitePast();
}

}  // namespace anvilridge
