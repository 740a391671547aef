#include "daemon/leaving_engines.h"

namespace anvilridge {

name_set LeavingAt(const leaving_engines& elsewhere, absl::Time now) {
  name_set names;
  for (const auto& [daemon, word] : elsewhere.said) {
    if (now < word.until) {
      names.insert(word.engines.begin(), word.engines.end());
    }
  }
  for (const auto& [engine, until] : elsewhere.expected) {
    if (now < until) names.insert(engine);
  }
  return names;
}

bool MustTell(const leaving_engines& elsewhere, const name_set& own,
              absl::Time now) {
  if (own != elsewhere.told) return true;
  return !own.empty() && now - elsewhere.told_at >= kLeavingRepeat;
}

}  // namespace anvilridge
