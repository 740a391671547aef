#ifndef ANVILRIDGE_DISPATCH_DISPATCH_STATE_H_
#define ANVILRIDGE_DISPATCH_DISPATCH_STATE_H_

#include <QObject>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/random/random.h"
#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "dispatch/admission_turn.h"
#include "dispatch/dispatch_metrics.h"
#include "dispatch/dispatch_settings.h"
#include "dispatch/engine_ledger.h"
#include "dispatch/fleet_speaker.h"
#include "dispatch/length_estimate.h"
#include "dispatch/send_budget.h"
#include "dispatch/send_outcome.h"
#include "dispatch/stage_plan.h"
#include "dispatch/upstream_absence.h"
#include "fleet/fleet_view.h"
#include "http1/channel_client.h"
#include "upstreams/outlier_ejection.h"

namespace anvilridge {

/// Engines promised to one streamed request.
struct engine_promise {
  fleet_upstream decode;
  /// Without one the decode engine reads the prompt itself.
  std::optional<fleet_upstream> prefill;
};

/// A streamed request that waits for decode memory.
struct waiting_stream {
  std::string request_id;
  std::string service;
  double prompt = 0;
  /// Tokens that its caller has already. The decode engine reads them itself,
  /// behind the prompt.
  double generated = 0;
  /// Tokens to come.
  double output = 0;
  /// Longest pause between events for which a stream is still on time.
  absl::Duration gap_target = absl::InfiniteDuration();
  /// Latest time at which its first event can still be on time.
  absl::Time start_by;
  /// Latest time at which it may still begin.
  absl::Time give_up;
  /// Until when it waits for an engine that can read what its caller has
  /// without making others late.
  absl::Time quiet_by = absl::InfinitePast();
  /// Called once: with engines, or with the reason why there are none.
  std::function<void(absl::StatusOr<engine_promise>)> done;
};

/// Everything that the flows of one traffic thread share.
struct dispatch_state {
  dispatch_settings settings;
  /// By which the other daemons know this one.
  std::string name;
  fleet_speaker speaker;
  std::shared_ptr<const fleet_view> view;
  /// Cells of the deployment; model engines of other cells than this daemon's
  /// are not used.
  int cells = 1;
  channel_client client;
  engine_ledger ledger;
  send_budget budget;
  health_table health;
  health_view standing;
  absence_table absences;
  absl::Time standing_until = absl::InfinitePast();
  /// Calls in progress at plain services, by upstream id.
  std::map<std::string, int, std::less<>> calls;
  /// Streams that may still begin on time, and those that can't any more, each
  /// in the order in which they came.
  std::list<waiting_stream> waiting;
  std::list<waiting_stream> late;
  /// Streams that go on and wait for an engine that reads nothing else.
  std::list<waiting_stream> resuming;
  /// Room at engines that other daemons may take first.
  room_sightings sightings;
  /// Part of the late ones that began in time, lately.
  double late_success = 1;
  /// By service.
  std::map<std::string, length_statistics, std::less<>> lengths;
  std::map<std::string, stream_workload, std::less<>> workloads;
  /// Daemons that share the budget, this one included.
  int daemons = 4;
  /// From when on streams are refused because the daemon stops.
  absl::Time last_stream = absl::InfiniteFuture();
  absl::BitGen random;
  dispatch_metrics* metrics = nullptr;
  /// Lives on the traffic thread.
  QObject* context = nullptr;
  /// Told when `ledger` changed by what this daemon does.
  std::function<void()> on_ledger_change;
};

/// Takes over what is known of the deployment from now on.
void TakeView(dispatch_state& state, std::shared_ptr<const fleet_view> view);

/// Returns the upstreams of `service` that may take new work: of this daemon's
/// cell, neither leaving nor ejected, and not in `tried`.
std::vector<const fleet_upstream*> UsableUpstreams(
    dispatch_state& state, absl::string_view service,
    const std::vector<std::string>& tried, absl::Time now);

/// Notes how a send to an upstream went, and whether the upstream said that it
/// isn't the instance or has not the stage that was meant.
void ReportSend(dispatch_state& state, const fleet_upstream& upstream,
                send_fate fate, bool misdirected);

/// Notes that an upstream has been silent for too long.
void ReportStall(dispatch_state& state, const fleet_upstream& upstream);

/// Time for a connection to an upstream: it takes a round trip, and a lost
/// opening packet comes again only after a second, so another one is quicker.
inline constexpr absl::Duration kUpstreamConnectTimeout =
    absl::Milliseconds(250);

/// Takes one further send of a request from the budget, and counts or logs it.
/// @return false when the budget is used up.
bool TakeBudgetedSend(dispatch_state& state, absl::string_view service,
                      absl::string_view request_id, absl::string_view reason);

/// Returns how long the caller and its route still wait at `now`.
absl::Duration TimeLeft(const fleet_request& request, const fleet_route& route,
                        absl::Time now);

/// When `request` gets its final answer at the latest.
absl::Time FinalAnswerTime(const fleet_request& request,
                           const fleet_route& route);

/// Logs a refusal or failure and sends it to the caller.
void RefuseRequest(dispatch_state& state, inbound_exchange& exchange,
                   const fleet_request& request, absl::string_view route,
                   const absl::Status& error);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DISPATCH_STATE_H_
