#ifndef ANVILRIDGE_DISPATCH_DISPATCH_STATE_H_
#define ANVILRIDGE_DISPATCH_DISPATCH_STATE_H_

#include <QObject>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/random/random.h"
#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "dispatch/admission_turn.h"
#include "dispatch/crash_check.h"
#include "dispatch/dispatch_metrics.h"
#include "dispatch/dispatch_settings.h"
#include "dispatch/engine_ledger.h"
#include "dispatch/fleet_protocol.h"
#include "dispatch/length_estimate.h"
#include "dispatch/load_choice.h"
#include "dispatch/open_request.h"
#include "dispatch/recent_durations.h"
#include "dispatch/send_budget.h"
#include "dispatch/send_outcome.h"
#include "dispatch/stage_plan.h"
#include "dispatch/upstream_statement.h"
#include "dispatch/upstream_unavailability.h"
#include "fleet/fleet_view.h"
#include "http1/channel_client.h"
#include "quarantine/prompt_quarantine.h"
#include "teams/team_usage.h"
#include "upstreams/outlier_ejection.h"

namespace anvilridge {

/// Engines reserved for one streamed request.
struct engine_reservation {
  fleet_upstream decode;
  /// Without a prefill engine the decode engine prefills the prompt itself.
  std::optional<fleet_upstream> prefill;
};

/// A streamed request that waits for decode memory.
struct waiting_stream {
  std::string request_id;
  std::string service;
  /// Tokens of the prompt.
  double prompt = 0;
  /// Tokens that the caller of a resumed stream already has; 0 for a new
  /// stream. The decode engine prefills them itself, after the prompt.
  double generated = 0;
  /// Tokens that are expected to be generated.
  double output = 0;
  /// Priority of the request; 0 is the most urgent.
  int priority = 5;
  /// Whether no other stream may pass it in the queue: it has been admitted
  /// before.
  bool goes_first = false;
  /// Longest pause between events with which the stream is still on time.
  absl::Duration gap_target = absl::InfiniteDuration();
  /// Latest start with which the first event can still be on time.
  absl::Time latest_on_time_start;
  /// Latest start; the stream is refused if it has not begun by then.
  absl::Time latest_start;
  /// Time limit of the request.
  absl::Time deadline = absl::InfiniteFuture();
  /// Shortest time that the stream is expected to take once it begins.
  absl::Duration shortest_run;
  /// Time that the stream takes once it begins if it uses all the tokens that
  /// its request allows; infinite if that is unknown.
  absl::Duration longest_run;
  /// As `longest_run`, with the tokens that one stream in a hundred exceeds.
  absl::Duration estimated_run = absl::InfiniteDuration();
  /// Until when a resumed stream waits for an engine that can prefill the
  /// `generated` tokens without making its other streams late. Infinitely past
  /// until that wait has begun.
  absl::Time resumed_wait_until = absl::InfinitePast();
  /// Called once, with the reserved engines or with the error for the caller.
  std::function<void(absl::StatusOr<engine_reservation>)> done;
};

/// State that the requests of one traffic thread share.
struct dispatch_state {
  dispatch_settings settings;
  /// Name of this daemon in messages between daemons.
  std::string name;
  fleet_protocol protocol;
  std::shared_ptr<const fleet_view> view;
  /// Number of cells of the deployment. Model engines of other cells than this
  /// daemon's are not used.
  int cells = 1;
  channel_client client;
  engine_ledger ledger;
  send_budget budget;
  /// Use of the teams' caps by all daemons.
  team_usage teams;
  /// Results of calls to the upstreams.
  health_table health;
  /// Upstreams that are not healthy, as last computed from `health`.
  health_view assessed_health;
  unavailability_table unavailable_upstreams;
  /// What the upstreams have stated about themselves in responses to this
  /// daemon.
  stated_absences absences;
  /// Upstreams that have stated to other daemons that they are leaving. They
  /// are used only when there are no others.
  reported_departures reported_leaving;
  /// Checks of engines that have broken off a run.
  crash_check_table crash_checks;
  /// Prompts that crash engines.
  prompt_quarantines quarantines;
  /// When `assessed_health` must be computed again.
  absl::Time assessed_health_until = absl::InfinitePast();
  /// Requests that this daemon has accepted and not answered.
  std::shared_ptr<open_request_table> open_requests =
      std::make_shared<open_request_table>();
  /// Calls in progress at plain services, by upstream id.
  std::map<std::string, int, std::less<>> calls;
  /// Times for a token of recent streams, by service. That of a stream is the
  /// mean over its events.
  std::map<std::string, recent_durations, std::less<>> token_times;
  /// Recent calls to plain services, by route.
  std::map<std::string, recent_durations, std::less<>> call_durations;
  /// Queued streams that can still be on time, by `QueueInOrder`.
  std::list<waiting_stream> waiting;
  /// Queued streams that can no longer be on time, in the order in which they
  /// were queued here.
  std::list<waiting_stream> late;
  /// Queued resumed streams that wait for a decode engine whose other streams
  /// stay on time.
  std::list<waiting_stream> resuming;
  /// Free capacity observed at engines where other daemons may use it first.
  capacity_observations observed_capacity;
  /// Share of the late streams that recently began by their latest start, a
  /// moving average.
  double late_success_rate = 1;
  /// Statistics of responses' lengths, by service.
  std::map<std::string, length_statistics, std::less<>> lengths;
  /// Tokens of the prompts that this daemon sends to prefill engines, by
  /// service.
  std::map<std::string, work_rate, std::less<>> sent_tokens;
  /// Stream sizes and engine speeds for the planning of stages, by service.
  std::map<std::string, stream_workload, std::less<>> workloads;
  /// Time by which all requests must have their final response because this
  /// daemon stops; infinitely far in the future unless it is stopping.
  absl::Time stop_deadline = absl::InfiniteFuture();
  /// Whether further requests are refused because the callers' port closes.
  bool closing = false;
  /// Time before which this daemon doesn't end its stop, even without requests.
  absl::Time earliest_stop_end = absl::InfinitePast();
  absl::BitGen random;
  dispatch_metrics* metrics = nullptr;
  /// Object on the traffic thread whose event loop runs the timers.
  QObject* context = nullptr;
  /// Called after this daemon has changed its own load, if set.
  std::function<void()> on_ledger_change;
  /// Called after the evidence in `quarantines` has changed, if set.
  std::function<void()> on_evidence_change;
  /// Called after `absences` has changed, if set.
  std::function<void()> on_absence_change;
};

/// Replaces the view of the deployment and updates the number of cells.
void ApplyFleetView(dispatch_state& state,
                    std::shared_ptr<const fleet_view> view);

/// Returns the upstreams of `service` that may receive new work: available, not
/// draining, not ejected, not in `tried` and, for model engines, in this
/// daemon's cell. When there are none, returns those that are excluded only as
/// unavailable or ejected, but never those that are absent by their own
/// statement.
std::vector<const fleet_upstream*> UsableUpstreams(
    dispatch_state& state, absl::string_view service,
    const std::vector<std::string>& tried, absl::Time now);

/// Returns when the first upstream of `service` returns if all those that could
/// receive work are absent by their own statement. Returns nothing if one isn't
/// absent, and infinitely far in the future if all are leaving.
/// @param stage consider upstreams with this stage only.
std::optional<absl::Time> EarliestReturn(dispatch_state& state,
                                         absl::string_view service,
                                         engine_stage stage, absl::Time now);

/// Returns whether `upstream`, which was chosen before, may still receive work:
/// it is registered, not draining, and not absent by its own statement.
bool IsStillAvailable(const dispatch_state& state,
                      const fleet_upstream& upstream, absl::Time now);

/// Returns whether `upstream` must get nothing new by its own statement.
bool IsAbsent(const dispatch_state& state, const fleet_upstream& upstream,
              absl::Time now);

/// Records and logs what `upstream` has stated in a response to this daemon.
/// @param source kind of the call that it responded to, for the log.
void ReportStatement(dispatch_state& state, const fleet_upstream& upstream,
                     const upstream_statement& statement,
                     absl::string_view source);

/// Starts `call` to `upstream`. Records what the upstream states about itself
/// as soon as the headers of its response arrive.
/// @param source kind of the call, for the log.
channel_client::call_id StartUpstreamCall(dispatch_state& state,
                                          const fleet_upstream& upstream,
                                          absl::string_view source,
                                          http_call call, http_handler handler);

/// Records the outcome of a send in the upstream's health and availability.
/// @param misdirected whether the upstream responded that it is another
///     instance than the addressed one or doesn't have the addressed stage.
void ReportSend(dispatch_state& state, const fleet_upstream& upstream,
                send_outcome fate, bool misdirected);

/// Records in the upstream's health that it has sent nothing for too long.
void ReportStall(dispatch_state& state, const fleet_upstream& upstream);

/// Records the same for the upstream `id` of `service`, if it is registered.
void ReportStall(dispatch_state& state, absl::string_view service,
                 absl::string_view id);

/// Longest body of a response to a prefill, a report, an order or a release.
inline constexpr size_t kMaxControlResponseBytes = 64 << 10;

/// Timeout for connecting to an upstream. Connecting takes one round trip, and
/// a lost opening packet is sent again only after a second, so that a new
/// connection is faster.
inline constexpr absl::Duration kUpstreamConnectTimeout =
    absl::Milliseconds(250);

/// Takes one further send of a request from the send budget. Counts the send
/// under `reason`, or logs that the budget is used up.
/// @return false when the budget is used up.
bool TakeBudgetedSend(dispatch_state& state, absl::string_view service,
                      absl::string_view request_id, absl::string_view reason,
                      extra_send_need need);

/// Returns the time from `now` to the caller's deadline or the route's timeout,
/// whichever comes first.
absl::Duration TimeLeft(const fleet_request& request, const fleet_route& route,
                        absl::Time now);

/// How long before the caller stops waiting the final response is sent, so that
/// it reaches the caller in time.
inline constexpr absl::Duration kResponseMargin = absl::Milliseconds(20);

/// Returns the time by which the final response to `request` must be sent:
/// shortly before the caller's deadline, or at the route's timeout if that
/// comes first.
absl::Time ResponseDeadline(const fleet_request& request,
                            const fleet_route& route);

/// Logs and counts the refusal or failure of `request` with `error`.
void RecordRefusal(dispatch_state& state, const fleet_request& request,
                   absl::string_view route, const absl::Status& error);

/// Sends `error` to the caller, and logs and counts the refusal or failure.
void RefuseRequest(dispatch_state& state, inbound_exchange& exchange,
                   const fleet_request& request, absl::string_view route,
                   const absl::Status& error);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DISPATCH_STATE_H_
