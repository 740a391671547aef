#ifndef ANVILRIDGE_DISPATCH_UPSTREAM_STATEMENT_H_
#define ANVILRIDGE_DISPATCH_UPSTREAM_STATEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "fleet/fleet_upstream.h"

namespace anvilridge {

/// What an upstream's response states about the upstream itself.
struct upstream_statement {
  /// Whether the instance is leaving and accepts no new work.
  bool leaving = false;
  /// Time for which the upstream accepts nothing from this daemon.
  std::optional<absl::Duration> pause = std::nullopt;
  /// Descriptions of the fields that could not be parsed. They have no effect.
  std::vector<std::string> unreadable = {};
};

/// What one instance of an upstream has stated to this daemon.
struct stated_absence {
  /// Start time of the instance, as in `fleet_upstream`.
  int64_t started_ms = 0;
  bool leaving = false;
  /// End of the longest pause that the upstream has stated.
  absl::Time paused_until = absl::InfinitePast();
  /// Since when the instance is no longer registered.
  absl::Time gone_since = absl::InfiniteFuture();
  /// Descriptions of unreadable fields that were reported before.
  std::set<std::string> reported_unreadable;
};

/// Statements of the upstreams, by upstream id.
using stated_absences = std::map<std::string, stated_absence, std::less<>>;

/// Why an upstream gets no work by its own statement.
enum class absence_reason { none, leaving, paused };

/// Which parts of a statement were not known before.
struct statement_news {
  bool leaving = false;
  /// Whether a pause has begun. False for one that extends an earlier pause.
  bool paused = false;
  std::vector<std::string> unreadable;
};

/// Records what `upstream` stated at `now`. A departure holds for the instance;
/// a pause may be extended but never shortened by a later statement.
/// @param upstream the registration that the request was sent to.
/// @return the parts of the statement to be logged.
statement_news RecordStatement(stated_absences& absences,
                               const fleet_upstream& upstream,
                               const upstream_statement& statement,
                               absl::Time now);

/// Returns why the registered `upstream` must get nothing new at `now`.
absence_reason AbsenceOf(const stated_absences& absences,
                         const fleet_upstream& upstream, absl::Time now);

/// Returns until when `upstream` accepts nothing by its own statement:
/// infinitely past if it has stated no pause, infinitely far in the future if
/// it is leaving.
absl::Time AbsentUntil(const stated_absences& absences,
                       const fleet_upstream& upstream);

/// Removes the statements of instances that have been replaced or that are
/// gone. An instance whose start time is known may be registered again, after a
/// failure of the store, so its statements are kept for some minutes.
/// @param upstreams registered upstreams by service.
void RemoveGoneInstances(
    stated_absences& absences,
    const std::map<std::string, std::vector<fleet_upstream>, std::less<>>&
        upstreams,
    absl::Time now);

/// Returns the hash by which daemons identify an instance in messages.
uint32_t InstanceKey(absl::string_view upstream_id, int64_t started_ms);

/// Returns the keys of the registered instances that have stated to this daemon
/// that they are leaving.
std::vector<uint32_t> LeavingInstances(const stated_absences& absences);

/// Instances that other daemons report as leaving, by `InstanceKey`, with the
/// time of the last report.
using reported_departures = std::map<uint32_t, absl::Time>;

/// Records that another daemon reports an instance as leaving.
void RecordReportedDeparture(reported_departures& reports, uint32_t instance,
                             absl::Time now);

/// Returns whether another daemon has recently reported `upstream` as leaving.
bool IsReportedLeaving(const reported_departures& reports,
                       const fleet_upstream& upstream, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_UPSTREAM_STATEMENT_H_
