#include "daemon/traffic_metrics.h"

#include <string>

#include "daemon/metric_names.h"

namespace anvilridge {
namespace {

// Label of requests that ended before their route was known.
constexpr char kNoRoute[] = "none";

std::string RouteLabel(absl::string_view route) {
  return route.empty() ? kNoRoute : std::string(route);
}

duration_observer Observer(prometheus::Histogram& histogram) {
  return [&histogram](absl::Duration measured) {
    histogram.Observe(absl::ToDoubleSeconds(measured));
  };
}

void AddEnds(request_metrics& metrics, metrics_registry& registry) {
  metrics.ended = [&registry](absl::string_view route,
                              absl::string_view result) {
    registry
        .Counter(kRequests, {{"route", RouteLabel(route)},
                             {"result", std::string(result)}})
        .Increment();
  };
  metrics.served_in_target = [&registry](absl::string_view route) {
    registry.Counter(kServedInTarget, {{"route", RouteLabel(route)}})
        .Increment();
  };
  metrics.refused = [&registry](absl::string_view kind) {
    registry.Counter(kRefusals, {{"kind", std::string(kind)}}).Increment();
  };
  metrics.retried = [&registry](absl::string_view route) {
    registry.Counter(kRetries, {{"route", RouteLabel(route)}}).Increment();
  };
  metrics.claim_ended = [&registry](absl::string_view outcome) {
    registry.Counter(kClaims, {{"outcome", std::string(outcome)}}).Increment();
  };
}

void AddPlacements(request_metrics& metrics, metrics_registry& registry) {
  prometheus::Histogram& waits =
      registry.Histogram(kPlaceWait, {}, FirstTokenBuckets());
  metrics.placed = [&registry, &waits](absl::string_view result,
                                       absl::Duration wait) {
    registry.Counter(kPlacements, {{"result", std::string(result)}})
        .Increment();
    waits.Observe(absl::ToDoubleSeconds(wait));
  };
}

void AddTokens(request_metrics& metrics, metrics_registry& registry) {
  prometheus::Counter& prefilled = registry.Counter(kPrefillTokens);
  prometheus::Counter& wasted = registry.Counter(kWastedPrefillTokens);
  metrics.prefilled = [&prefilled, &wasted](int tokens, prefill_use use) {
    prefilled.Increment(tokens);
    if (use == prefill_use::wasted) wasted.Increment(tokens);
  };
  metrics.first_tokens = [&registry](absl::string_view pool) {
    return Observer(registry.Histogram(
        kFirstToken, {{"pool", std::string(pool)}}, FirstTokenBuckets()));
  };
  metrics.token_intervals = [&registry](absl::string_view pool) {
    return Observer(registry.Histogram(
        kTokenInterval, {{"pool", std::string(pool)}}, TokenIntervalBuckets()));
  };
}

}  // namespace

const std::vector<double>& FirstTokenBuckets() {
  static const auto* const kBuckets = new std::vector<double>{
      0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 0.9, 1, 1.1, 1.2, 1.35, 1.6, 2, 3, 5, 10};
  return *kBuckets;
}

const std::vector<double>& TokenIntervalBuckets() {
  static const auto* const kBuckets = new std::vector<double>{
      0.005, 0.01, 0.015, 0.02, 0.023, 0.025, 0.026, 0.027,
      0.028, 0.03, 0.035, 0.05, 0.1,   0.25,  1,     3};
  return *kBuckets;
}

request_metrics MakeRequestMetrics(metrics_registry& registry) {
  request_metrics metrics;
  AddEnds(metrics, registry);
  AddPlacements(metrics, registry);
  AddTokens(metrics, registry);
  return metrics;
}

}  // namespace anvilridge
