#include "dispatch/dispatch_metrics.h"

#include <string>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

constexpr metric_name kRequests{"anvil_fleet_requests_total",
                                "Finished requests, by route and status"};
constexpr metric_name kRequestSeconds{
    "anvil_fleet_request_seconds",
    "Time from the arrival of a request to the end of its response"};
constexpr metric_name kFirstEvent{
    "anvil_fleet_first_event_seconds",
    "Time from the arrival of a request to its first event"};
constexpr metric_name kWait{"anvil_fleet_engine_wait_seconds",
                            "Time that streams waited for decode memory"};
constexpr metric_name kSends{"anvil_fleet_sends_total",
                             "Sends to upstreams, by outcome"};
constexpr metric_name kPrefillChoices{
    "anvil_fleet_prefill_choices_total",
    "Prefill engines chosen for admitted streams, by whether prompts were "
    "ahead there while another engine was idle"};
constexpr metric_name kExtraSends{"anvil_fleet_extra_sends_total",
                                  "Sends of a request after its first one"};
constexpr metric_name kRefusals{"anvil_fleet_refusals_total",
                                "Refused or failed requests, by reason"};
constexpr metric_name kUnfinished{
    "anvil_fleet_unfinished_total",
    "Requests that were sent to an upstream and ended without a whole answer"};
constexpr metric_name kAbsent{
    "anvil_fleet_upstreams_absent",
    "Upstreams without new work by their own statement, by reason"};
constexpr metric_name kKeptBytes{
    "anvil_fleet_kept_bytes",
    "Bytes kept of responses of upstreams that are incomplete"};
constexpr metric_name kCrashReports{
    "anvil_fleet_crash_reports_total",
    "Prompts for which an engine crashed before it sent an event"};
constexpr metric_name kQuarantineVerdicts{
    "anvil_fleet_quarantine_verdicts",
    "Verdicts on prompts that are held back because engines crash on them"};
constexpr metric_name kInProgress{"anvil_fleet_requests_in_progress",
                                  "Requests in progress"};
constexpr metric_name kWaiting{"anvil_fleet_streams_waiting",
                               "Streams that wait for decode memory"};
constexpr metric_name kTeamRequests{
    "anvil_fleet_team_requests_total",
    "Requests of teams, by team and whether its cap admitted them"};
constexpr metric_name kTeamAvailable{
    "anvil_fleet_team_available_units",
    "Units that the cap of a team admits now, as far as this daemon knows"};
constexpr metric_name kTeamSent{
    "anvil_fleet_team_sent_units",
    "Units of a team that this daemon has sent to upstreams"};
constexpr metric_name kTeamAssumed{
    "anvil_fleet_team_assumed_units",
    "Units of a team that silent daemons are assumed to have sent"};

}  // namespace

dispatch_metrics::dispatch_metrics(metrics_registry& registry)
    : registry_(registry) {}

void dispatch_metrics::CountRequest(absl::string_view route, int http_status,
                                    absl::Duration elapsed) {
  registry_
      .Counter(kRequests, {{"route", std::string(route)},
                           {"status", absl::StrCat(http_status)}})
      .Increment();
  registry_.Histogram(kRequestSeconds).Observe(absl::ToDoubleSeconds(elapsed));
}

void dispatch_metrics::ObserveFirstEventTime(absl::string_view /*route*/,
                                             absl::Duration elapsed) {
  registry_.Histogram(kFirstEvent).Observe(absl::ToDoubleSeconds(elapsed));
}

void dispatch_metrics::ObserveWaitTime(absl::Duration elapsed) {
  registry_.Histogram(kWait).Observe(absl::ToDoubleSeconds(elapsed));
}

void dispatch_metrics::CountSend(absl::string_view service,
                                 absl::string_view outcome) {
  registry_
      .Counter(kSends, {{"service", std::string(service)},
                        {"fate", std::string(outcome)}})
      .Increment();
}

void dispatch_metrics::CountPrefillChoice(absl::string_view service,
                                          bool queued_beside_idle) {
  registry_
      .Counter(kPrefillChoices,
               {{"service", std::string(service)},
                {"queued_beside_idle", queued_beside_idle ? "yes" : "no"}})
      .Increment();
}

void dispatch_metrics::CountExtraSend(absl::string_view service,
                                      absl::string_view reason) {
  registry_
      .Counter(kExtraSends, {{"service", std::string(service)},
                             {"reason", std::string(reason)}})
      .Increment();
}

void dispatch_metrics::CountRefusal(absl::string_view kind) {
  registry_.Counter(kRefusals, {{"reason", std::string(kind)}}).Increment();
}

void dispatch_metrics::CountUnfinished(absl::string_view route,
                                       absl::string_view reason,
                                       bool call_in_progress) {
  registry_
      .Counter(kUnfinished, {{"route", std::string(route)},
                             {"reason", std::string(reason)},
                             {"call", call_in_progress ? "open" : "ended"}})
      .Increment();
}

void dispatch_metrics::SetAbsentUpstreams(int leaving, int paused) {
  registry_.Gauge(kAbsent, {{"reason", "leaving"}}).Set(leaving);
  registry_.Gauge(kAbsent, {{"reason", "paused"}}).Set(paused);
}

void dispatch_metrics::SetKeptBytes(size_t bytes) {
  registry_.Gauge(kKeptBytes).Set(static_cast<double>(bytes));
}

void dispatch_metrics::CountCrashReport(absl::string_view service) {
  registry_.Counter(kCrashReports, {{"service", std::string(service)}})
      .Increment();
}

void dispatch_metrics::SetQuarantineVerdicts(absl::string_view stage,
                                             int verdicts) {
  registry_.Gauge(kQuarantineVerdicts, {{"stage", std::string(stage)}})
      .Set(verdicts);
}

void dispatch_metrics::CountTeamRequest(absl::string_view team, bool admitted) {
  registry_
      .Counter(kTeamRequests, {{"team", std::string(team)},
                               {"result", admitted ? "admitted" : "refused"}})
      .Increment();
}

void dispatch_metrics::SetTeamUse(absl::string_view team, double available,
                                  double sent, double assumed) {
  const metric_labels labels = {{"team", std::string(team)}};
  registry_.Gauge(kTeamAvailable, labels).Set(available);
  registry_.Gauge(kTeamSent, labels).Set(sent);
  registry_.Gauge(kTeamAssumed, labels).Set(assumed);
}

void dispatch_metrics::SetInProgress(int requests, int waiting) {
  registry_.Gauge(kInProgress).Set(requests);
  registry_.Gauge(kWaiting).Set(waiting);
}

}  // namespace anvilridge
