#include "dispatch/dispatch_metrics.h"

#include <string>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

constexpr metric_name kRequests{"anvil_fleet_requests_total",
                                "Requests ended, by route and status"};
constexpr metric_name kRequestSeconds{"anvil_fleet_request_seconds",
                                      "From arrival to the end of the answer"};
constexpr metric_name kFirstEvent{"anvil_fleet_first_event_seconds",
                                  "From arrival to the first event"};
constexpr metric_name kWait{"anvil_fleet_engine_wait_seconds",
                            "Time that streams waited for decode memory"};
constexpr metric_name kSends{"anvil_fleet_sends_total",
                             "Sends to upstreams, by fate"};
constexpr metric_name kExtraSends{"anvil_fleet_extra_sends_total",
                                  "Sends beyond the first of a request"};
constexpr metric_name kRefusals{"anvil_fleet_refusals_total",
                                "Refused or failed requests, by reason"};
constexpr metric_name kInProgress{"anvil_fleet_requests_in_progress",
                                  "Requests in progress"};
constexpr metric_name kWaiting{"anvil_fleet_streams_waiting",
                               "Streams that wait for decode memory"};

}  // namespace

dispatch_metrics::dispatch_metrics(metrics_registry& registry)
    : registry_(registry) {}

void dispatch_metrics::CountRequest(absl::string_view route, int http_status,
                                    absl::Duration took) {
  registry_
      .Counter(kRequests, {{"route", std::string(route)},
                           {"status", absl::StrCat(http_status)}})
      .Increment();
  registry_.Histogram(kRequestSeconds).Observe(absl::ToDoubleSeconds(took));
}

void dispatch_metrics::CountFirstEvent(absl::string_view /*route*/,
                                       absl::Duration took) {
  registry_.Histogram(kFirstEvent).Observe(absl::ToDoubleSeconds(took));
}

void dispatch_metrics::CountWait(absl::Duration took) {
  registry_.Histogram(kWait).Observe(absl::ToDoubleSeconds(took));
}

void dispatch_metrics::CountSend(absl::string_view service,
                                 absl::string_view fate) {
  registry_
      .Counter(kSends,
               {{"service", std::string(service)}, {"fate", std::string(fate)}})
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

void dispatch_metrics::SetInProgress(int requests, int waiting) {
  registry_.Gauge(kInProgress).Set(requests);
  registry_.Gauge(kWaiting).Set(waiting);
}

}  // namespace anvilridge
