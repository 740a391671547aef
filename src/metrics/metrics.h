#ifndef ANVILRIDGE_METRICS_METRICS_H_
#define ANVILRIDGE_METRICS_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvilridge {

/// Name and help text of a metric; make one constant for each.
struct metric_name {
  const char* name;
  const char* help;
};

/// Label names and values of one time series.
using metric_labels = std::map<std::string, std::string>;

/// Upper bounds of the buckets of latencies, in seconds.
const std::vector<double>& LatencyBuckets();

/// The metrics of one process. Any thread may use it, and the series returned;
/// they live as long as this. Keep the reference where a series is used often.
class metrics_registry {
 public:
  metrics_registry();
  ~metrics_registry();
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;

  /// Returns the series of `name` with `labels`, made at its first use.
  prometheus::Counter& Counter(const metric_name& name,
                               const metric_labels& labels = {});
  prometheus::Gauge& Gauge(const metric_name& name,
                           const metric_labels& labels = {});
  /// `buckets` are upper bounds in ascending order; the first use of a series
  /// decides them.
  prometheus::Histogram& Histogram(
      const metric_name& name, const metric_labels& labels = {},
      const std::vector<double>& buckets = LatencyBuckets());

  /// Returns all series and the process's CPU time and memory in the text
  /// format of Prometheus.
  std::string MetricsText() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_METRICS_METRICS_H_
