#ifndef ANVILRIDGE_DISPATCH_ADMISSION_TURN_H_
#define ANVILRIDGE_DISPATCH_ADMISSION_TURN_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

namespace anvilridge {

/// A daemon with streams that wait for decode memory.
struct room_contender {
  std::string daemon;
  int streams = 0;
};

/// Since when this daemon sees room at an engine that is not its turn to take.
struct room_sighting {
  absl::Time since;
  absl::Time last;
  /// Runs at the engine then.
  size_t runs = 0;
};

/// By the key of an engine's id.
using room_sightings = std::map<uint32_t, room_sighting>;

/// Returns the place of `own` in the order in which it and `others` may take
/// the room of an engine that has `runs` runs; 0 is the first. All daemons find
/// the same order. Each is first as often as its part of the waiting streams.
size_t TurnRank(uint32_t engine, size_t runs, const room_contender& own,
                absl::Span<const room_contender> others);

/// Whether a daemon that is `rank`-th of `contenders` in turn may take the room
/// that it sees at `now`: each in a slice of time of its own, one after the
/// other, from when the room was seen.
bool MayTakeRoom(room_sightings& sightings, uint32_t engine, size_t runs,
                 size_t rank, size_t contenders, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_ADMISSION_TURN_H_
