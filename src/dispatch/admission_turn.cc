#include "dispatch/admission_turn.h"

#include <xxhash.h>

#include <cmath>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

// Slice of time of one daemon: it looks every 20 ms, and its promise is known
// to the next one within 20 ms more.
constexpr absl::Duration kTurnStep = absl::Milliseconds(40);
// How long an engine's runs must have been seen unchanged: what the others have
// begun or ended there is known here by then.
constexpr absl::Duration kSettleTime = absl::Milliseconds(20);
// Room that was not looked at for this long counts as new.
constexpr absl::Duration kSightingLife = absl::Milliseconds(50);

// Weighted rendezvous hashing: the largest score is each contender's with the
// probability of its part of all streams.
double Score(uint32_t engine, size_t runs, const room_contender& contender) {
  const std::string text =
      absl::StrCat(engine, "/", runs, "/", contender.daemon);
  // From above 0 to below 1, with the bits that a double can hold.
  const double lot =
      (static_cast<double>(XXH64(text.data(), text.size(), 0) >> 12) + 0.5) *
      std::pow(2.0, -52);
  return -contender.streams / std::log(lot);
}

}  // namespace

size_t TurnRank(uint32_t engine, size_t runs, const room_contender& own,
                absl::Span<const room_contender> others) {
  const double score = Score(engine, runs, own);
  size_t rank = 0;
  for (const room_contender& other : others) {
    if (Score(engine, runs, other) > score) ++rank;
  }
  return rank;
}

bool MayTakeRoom(room_sightings& sightings, uint32_t engine, size_t runs,
                 size_t rank, size_t contenders, absl::Time now) {
  room_sighting& sighting = sightings[engine];
  if (sighting.runs != runs || now - sighting.last > kSightingLife) {
    sighting = {now, now, runs};
  }
  sighting.last = now;
  const absl::Duration seen = now - sighting.since - kSettleTime;
  if (seen < absl::ZeroDuration()) return false;
  absl::Duration into_slice;
  const int64_t slice = absl::IDivDuration(seen, kTurnStep, &into_slice);
  return static_cast<size_t>(slice) % contenders == rank &&
         into_slice < kTurnStep / 2;
}

}  // namespace anvilridge
