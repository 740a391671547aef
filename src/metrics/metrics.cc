#include "metrics/metrics.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <utility>

#include "base/control_traffic.h"
#include "metrics/process_usage.h"

namespace anvilridge {
namespace {

prometheus::MetricFamily SingleValue(const metric_name& name,
                                     prometheus::MetricType type,
                                     double value) {
  prometheus::ClientMetric metric;
  if (type == prometheus::MetricType::Counter) {
    metric.counter.value = value;
  } else {
    metric.gauge.value = value;
  }
  prometheus::MetricFamily family;
  family.name = name.name;
  family.help = name.help;
  family.type = type;
  family.metric.push_back(metric);
  return family;
}

constexpr metric_name kCpuSeconds{"process_cpu_seconds_total",
                                  "User and system CPU time in seconds"};
constexpr metric_name kPeerBytes{
    "anvil_peer_bytes_total", "Bytes sent to and received from other daemons"};
constexpr metric_name kResidentBytes{"process_resident_memory_bytes",
                                     "Resident memory in bytes"};

}  // namespace

const std::vector<double>& LatencyBuckets() {
  static const auto* const kBuckets =
      new std::vector<double>{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                              0.25,  0.5,    1,     2.5,  5,     10,   30};
  return *kBuckets;
}

struct metrics_registry::impl {
  prometheus::Registry registry{prometheus::Registry::InsertBehavior::Merge};
};

metrics_registry::metrics_registry() : impl_(std::make_unique<impl>()) {}

metrics_registry::~metrics_registry() = default;

prometheus::Counter& metrics_registry::Counter(const metric_name& name,
                                               const metric_labels& labels) {
  auto& family =
      prometheus::BuildCounter().Name(name.name).Help(name.help).Register(
          impl_->registry);
  return family.Add(labels);
}

prometheus::Gauge& metrics_registry::Gauge(const metric_name& name,
                                           const metric_labels& labels) {
  auto& family =
      prometheus::BuildGauge().Name(name.name).Help(name.help).Register(
          impl_->registry);
  return family.Add(labels);
}

prometheus::Histogram& metrics_registry::Histogram(
    const metric_name& name, const metric_labels& labels,
    const std::vector<double>& buckets) {
  auto& family =
      prometheus::BuildHistogram().Name(name.name).Help(name.help).Register(
          impl_->registry);
  return family.Add(labels, buckets);
}

std::string metrics_registry::MetricsText() const {
  std::vector<prometheus::MetricFamily> families = impl_->registry.Collect();
  const process_usage usage = ReadProcessUsage();
  families.push_back(SingleValue(kCpuSeconds, prometheus::MetricType::Counter,
                                 usage.cpu_seconds));
  families.push_back(SingleValue(kResidentBytes, prometheus::MetricType::Gauge,
                                 static_cast<double>(usage.resident_bytes)));
  families.push_back(SingleValue(kPeerBytes, prometheus::MetricType::Counter,
                                 static_cast<double>(ControlBytes())));
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace anvilridge
