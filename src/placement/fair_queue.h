#ifndef ANVILRIDGE_PLACEMENT_FAIR_QUEUE_H_
#define ANVILRIDGE_PLACEMENT_FAIR_QUEUE_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "placement/decode_ledger.h"

namespace anvilridge {

/// How long a priority waits for a place, for each step that it is below the
/// highest that waits, before it gets one out of turn.
inline constexpr absl::Duration kAgeingStep = absl::Milliseconds(50);

/// An ask that is put off until a place comes free.
struct queued_ask {
  decode_ask ask;
  absl::Time queued_at;
  absl::Time give_up_at;
};

/// The asks of one priority. Teams share its places by weight: start-time fair
/// queueing, where a place costs its expected use.
struct fair_class {
  /// Asks of each team that waits, by arrival; never an empty list.
  std::map<std::string, std::deque<queued_ask>, std::less<>> teams;
  /// Virtual time at which a team's next place starts; of the teams that wait
  /// and of those that had more than their share lately.
  std::map<std::string, double, std::less<>> tags;
  /// Start of the place given last, in seconds of use per weight.
  double virtual_time = 0;
  /// When it began to wait for its next place.
  absl::Time waits_since;
};

/// Asks that wait, by priority, the highest first; never an empty class.
using fair_queue = std::map<int, fair_class, std::greater<>>;

/// Puts `waiting` behind the other asks of its team and priority.
void AddAsk(fair_queue& queue, queued_ask waiting);

/// Returns the ask that the next place belongs to; null when none waits.
const queued_ask* NextAsk(const fair_queue& queue, absl::Time now);

/// Takes that ask out, and counts the place to its team.
queued_ask TakeNext(fair_queue& queue, absl::Time now);

/// Takes out the asks that have waited as long as they may.
std::vector<queued_ask> TakeLate(fair_queue& queue, absl::Time now);

/// Returns how many places are given before the one of `newcomer`, if one comes
/// free at `now` and each `interval` and nobody else comes.
int CountAhead(fair_queue queue, const queued_ask& newcomer,
               absl::Duration interval, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_FAIR_QUEUE_H_
