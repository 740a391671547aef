#ifndef ANVILRIDGE_DISPATCH_DISPATCH_METRICS_H_
#define ANVILRIDGE_DISPATCH_DISPATCH_METRICS_H_

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "metrics/metrics.h"

namespace anvilridge {

/// Counters and latency histograms of the requests of one daemon.
class dispatch_metrics {
 public:
  explicit dispatch_metrics(metrics_registry& registry);

  /// A request ended after `took`, with the HTTP status sent; 0 for a caller
  /// that left.
  void CountRequest(absl::string_view route, int http_status,
                    absl::Duration took);
  /// A stream sent its first event `took` after its request arrived.
  void CountFirstEvent(absl::string_view route, absl::Duration took);
  /// A stream was admitted or refused after waiting `took`.
  void CountWait(absl::Duration took);
  /// One send ended with `fate`.
  void CountSend(absl::string_view service, absl::string_view fate);
  /// A request was sent once more.
  void CountExtraSend(absl::string_view service, absl::string_view reason);
  void CountRefusal(absl::string_view kind);
  void SetInProgress(int requests, int waiting);

 private:
  metrics_registry& registry_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DISPATCH_METRICS_H_
