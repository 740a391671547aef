#ifndef ANVILRIDGE_DISPATCH_UPSTREAM_ABSENCE_H_
#define ANVILRIDGE_DISPATCH_UPSTREAM_ABSENCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "fleet/fleet_upstream.h"

namespace anvilridge {

/// Why an upstream gets no work for a while although it is registered and well.
struct upstream_absence {
  /// Refusals without an accepted request between them.
  int refusals = 0;
  absl::Time refused_until = absl::InfinitePast();
  /// The stage that it is leaving, and until when it may still be registered
  /// with it; `none` when it isn't changing its stage.
  engine_stage leaving = engine_stage::none;
  absl::Time leaving_until = absl::InfinitePast();
  /// The stage with which it was registered when a request didn't reach it, and
  /// until when it counts as gone if that stands.
  engine_stage misdirected_stage = engine_stage::none;
  absl::Time misdirected_until = absl::InfinitePast();
  /// When a connection to it failed last, and when it answered last.
  absl::Time unreachable = absl::InfinitePast();
  absl::Time reached = absl::InfinitePast();
  /// Other daemons that can't connect to it, and when they told so last.
  std::map<std::string, absl::Time, std::less<>> reports;
};

/// By the key of an upstream's id.
using absence_table = std::map<uint32_t, upstream_absence>;

/// Notes that an upstream refused a request that it didn't run. It gets no work
/// for a time that doubles with each refusal in a row.
void NoteRefusal(absence_table& table, uint32_t upstream, absl::Time now);

/// Notes that an upstream registered with `stage` is another instance by now,
/// or changes its stage. It gets no work until it is registered anew, or for
/// some seconds.
void NoteMisdirected(absence_table& table, uint32_t upstream,
                     engine_stage stage, absl::Time now);

/// Notes that no connection to an upstream could be made.
void NoteUnreachable(absence_table& table, uint32_t upstream, absl::Time now);

/// Notes that an upstream has answered, whatever the answer.
void NoteReached(absence_table& table, uint32_t upstream, absl::Time now);

/// Notes that the daemon `peer` can't connect to an upstream. Two of them are
/// believed, unless it has answered this daemon of late: it may be cut off from
/// some daemons only.
void NoteReport(absence_table& table, uint32_t upstream, absl::string_view peer,
                absl::Time now);

/// Returns the upstreams to which this daemon could not connect of late.
std::vector<uint32_t> UnreachableUpstreams(const absence_table& table,
                                           absl::Time now);

/// Notes that an upstream took a request.
void NoteAccepted(absence_table& table, uint32_t upstream);

/// Notes that an engine was ordered out of `stage`.
void NoteLeavingStage(absence_table& table, uint32_t upstream,
                      engine_stage stage, absl::Time until);

/// Whether an upstream that is registered with `stage` takes no work at `now`.
bool IsAbsent(const absence_table& table, uint32_t upstream, engine_stage stage,
              absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_UPSTREAM_ABSENCE_H_
