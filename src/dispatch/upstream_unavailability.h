#ifndef ANVILRIDGE_DISPATCH_UPSTREAM_UNAVAILABILITY_H_
#define ANVILRIDGE_DISPATCH_UPSTREAM_UNAVAILABILITY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "fleet/fleet_upstream.h"

namespace anvilridge {

/// Reasons for which an upstream temporarily gets no work although it is
/// registered and healthy.
struct upstream_unavailability {
  /// Number of refusals since the last accepted request.
  int consecutive_refusals = 0;
  /// End of the pause after the last refusal.
  absl::Time backoff_until = absl::InfinitePast();
  /// The stage that the upstream is leaving, or `none` if it isn't changing its
  /// stage, and the time until which it may still be registered with it.
  engine_stage leaving = engine_stage::none;
  absl::Time leaving_until = absl::InfinitePast();
  /// The stage with which the upstream was registered when a request reached
  /// another instance or one in another stage. While it is registered with that
  /// stage, it gets no work until `misdirected_until`.
  engine_stage misdirected_stage = engine_stage::none;
  absl::Time misdirected_until = absl::InfinitePast();
  /// Time of the last failed connection to the upstream; reset by a response.
  absl::Time last_connect_failure = absl::InfinitePast();
  /// Time of the last response of the upstream.
  absl::Time last_response = absl::InfinitePast();
  /// Other daemons that can't connect to the upstream, with the time of their
  /// last report.
  std::map<std::string, absl::Time, std::less<>> peer_reports;
};

/// Unavailability of upstreams, by the `EngineKey` of their id.
using unavailability_table = std::map<uint32_t, upstream_unavailability>;

/// Records that an upstream refused a request without running it. The upstream
/// gets no work for a pause that doubles with each refusal in a row, up to a
/// limit.
void RecordRefusal(unavailability_table& table, uint32_t upstream,
                   absl::Time now);

/// Records that an upstream registered with `stage` has been replaced by
/// another instance or is changing its stage. The upstream gets no work until
/// it is registered with another stage, but for some seconds at most.
void RecordMisdirected(unavailability_table& table, uint32_t upstream,
                       engine_stage stage, absl::Time now);

/// Records that a connection to an upstream failed.
void RecordConnectFailure(unavailability_table& table, uint32_t upstream,
                          absl::Time now);

/// Records that an upstream has responded, with any response.
void RecordResponse(unavailability_table& table, uint32_t upstream,
                    absl::Time now);

/// Records that the daemon `peer` can't connect to an upstream. The reports of
/// two daemons make the upstream unavailable, unless it has recently responded
/// to this one: it may be cut off from some daemons only.
void RecordPeerReport(unavailability_table& table, uint32_t upstream,
                      absl::string_view peer, absl::Time now);

/// Returns the upstreams to which this daemon recently failed to connect.
std::vector<uint32_t> UnreachableUpstreams(const unavailability_table& table,
                                           absl::Time now);

/// Records that an upstream accepted a request, which ends the pause after its
/// refusals.
void RecordAccepted(unavailability_table& table, uint32_t upstream);

/// Records that an engine was ordered to leave `stage`. It gets no work while
/// it is still registered with `stage`, at most until `until`.
void RecordLeavingStage(unavailability_table& table, uint32_t upstream,
                        engine_stage stage, absl::Time until);

/// Returns whether an upstream that is registered with `stage` gets no work at
/// `now`.
bool IsUpstreamUnavailable(const unavailability_table& table, uint32_t upstream,
                           engine_stage stage, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_UPSTREAM_UNAVAILABILITY_H_
