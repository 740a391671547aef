#ifndef ANVILRIDGE_DISPATCH_LOAD_CHOICE_H_
#define ANVILRIDGE_DISPATCH_LOAD_CHOICE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace anvilridge {

/// Choice among upstreams by loads that are a little old.
/// Load pattern: dozens of daemons choose at the same moment, each by what the
/// others had sent 10 to 900 ms ago. If all take the upstream with the least
/// load, it is overrun while others idle, and the next reports send all daemons
/// to another one. Each daemon therefore assumes that the work which it can't
/// have heard of yet levels the loads, and takes an upstream with the
/// probability of its part in that work. Without unheard work, this is the
/// upstream with the least load; with much, all are equally likely.

/// Work that a daemon sends per second, as a moving average.
struct work_rate {
  double per_second = 0;
  /// When `per_second` was computed.
  absl::Time updated = absl::InfinitePast();
};

/// Adds `work` that is sent at `now`.
void RecordWork(work_rate& rate, double work, absl::Time now);

/// Returns the work per second as of `now`.
double WorkPerSecond(const work_rate& rate, absl::Time now);

/// Returns for how long another daemon may have sent work that is not known
/// here: the delay of its reports, or the time since the last one if others
/// should have followed it.
absl::Duration UnheardTime(absl::Duration since_report);

/// Work beyond the known load, and the random number that decides a choice.
struct choice_spread {
  /// Expected work of other daemons that is not known yet, in the unit of the
  /// costs.
  double unheard = 0;
  /// Uniform in [0, 1).
  double draw = 0;
};

/// Returns the index of the chosen one among upstreams with `costs`, or nothing
/// when there are none. An infinite cost excludes an upstream. Equal costs
/// share the probability.
/// @param costs the work that waits at each upstream, with what else speaks
///     against it in the same unit.
std::optional<size_t> ChooseByCost(absl::Span<const double> costs,
                                   const choice_spread& spread);

/// Returns the cost up to which `work` fills the upstreams with `costs`, which
/// must be sorted and not empty.
double FillLevel(absl::Span<const double> costs, double work);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_LOAD_CHOICE_H_
