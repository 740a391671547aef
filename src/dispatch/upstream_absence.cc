#include "dispatch/upstream_absence.h"

#include <algorithm>

namespace anvilridge {
namespace {

// An upstream whose queue is full has room again within some requests' time;
// one that changes its stage is away for seconds.
constexpr absl::Duration kFirstPause = absl::Milliseconds(50);
constexpr absl::Duration kLongestPause = absl::Milliseconds(1500);
constexpr int kMostDoublings = 5;
// A daemon learns of a new instance within seconds, but for one that the store
// turns away: that one looks again at this interval.
constexpr absl::Duration kMisdirectedPause = absl::Seconds(5);

}  // namespace

void NoteRefusal(absence_table& table, uint32_t upstream, absl::Time now) {
  upstream_absence& absence = table[upstream];
  // Answers to sends that were under way when the pause began say nothing new.
  if (now < absence.refused_until) return;
  const int doublings = std::min(absence.refusals++, kMostDoublings);
  absence.refused_until =
      now + std::min(kFirstPause * (1 << doublings), kLongestPause);
}

void NoteMisdirected(absence_table& table, uint32_t upstream,
                     engine_stage stage, absl::Time now) {
  upstream_absence& absence = table[upstream];
  absence.misdirected_stage = stage;
  absence.misdirected_until = now + kMisdirectedPause;
}

void NoteAccepted(absence_table& table, uint32_t upstream) {
  const auto found = table.find(upstream);
  if (found == table.end()) return;
  found->second.refusals = 0;
  found->second.refused_until = absl::InfinitePast();
}

void NoteLeavingStage(absence_table& table, uint32_t upstream,
                      engine_stage stage, absl::Time until) {
  upstream_absence& absence = table[upstream];
  absence.leaving = stage;
  absence.leaving_until = until;
}

bool IsAbsent(const absence_table& table, uint32_t upstream, engine_stage stage,
              absl::Time now) {
  const auto found = table.find(upstream);
  if (found == table.end()) return false;
  const upstream_absence& absence = found->second;
  if (now < absence.refused_until) return true;
  if (now < absence.misdirected_until && absence.misdirected_stage == stage) {
    return true;
  }
  return absence.leaving != engine_stage::none && absence.leaving == stage &&
         now < absence.leaving_until;
}

}  // namespace anvilridge
