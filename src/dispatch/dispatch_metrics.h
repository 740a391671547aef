#ifndef ANVILRIDGE_DISPATCH_DISPATCH_METRICS_H_
#define ANVILRIDGE_DISPATCH_DISPATCH_METRICS_H_

#include <cstddef>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "metrics/metrics.h"

namespace anvilridge {

/// Counters and latency histograms of the requests of one daemon.
class dispatch_metrics {
 public:
  explicit dispatch_metrics(metrics_registry& registry);

  /// Counts a request that ended `elapsed` after its arrival.
  /// @param http_status status sent to the caller; 0 if the caller disconnected
  ///     or its stream was aborted.
  void CountRequest(absl::string_view route, int http_status,
                    absl::Duration elapsed);
  /// Records that the first event of a stream was passed on `elapsed` after its
  /// request arrived.
  void ObserveFirstEventTime(absl::string_view route, absl::Duration elapsed);
  /// Records that a stream was admitted or refused after waiting for `elapsed`.
  void ObserveWaitTime(absl::Duration elapsed);
  /// Counts a send to an upstream of `service` that ended with `outcome`.
  void CountSend(absl::string_view service, absl::string_view outcome);
  /// Counts the choice of a prefill engine of `service` for an admitted stream.
  /// @param queued_beside_idle whether prompts are known to be ahead there
  /// while
  ///     another engine is known to be idle.
  void CountPrefillChoice(absl::string_view service, bool queued_beside_idle);
  /// Counts a send of a request after its first one, made because of `reason`.
  void CountExtraSend(absl::string_view service, absl::string_view reason);
  /// Counts a request that was refused or failed with an error of `kind`.
  void CountRefusal(absl::string_view kind);
  /// Counts a request that was sent to an upstream and ended without a whole
  /// answer because of `reason`.
  /// @param call_in_progress whether the upstream was still at work on it.
  void CountUnfinished(absl::string_view route, absl::string_view reason,
                       bool call_in_progress);
  /// Sets how many registered upstreams get no work by their own statement.
  void SetAbsentUpstreams(int leaving, int paused);
  /// Sets the number of bytes kept of responses that are incomplete.
  void SetKeptBytes(size_t bytes);
  /// Counts a crash of an engine of `service` on a prompt.
  void CountCrashReport(absl::string_view service);
  /// Sets the number of verdicts on prompts that crash engines of `stage`.
  void SetQuarantineVerdicts(absl::string_view stage, int verdicts);
  /// Counts a request of `team` that was admitted or refused by its cap.
  void CountTeamRequest(absl::string_view team, bool admitted);
  /// Sets the use of the cap of `team`, in units: what may be admitted, what
  /// this daemon has sent, and what silent daemons are assumed to have sent.
  void SetTeamUse(absl::string_view team, double available, double sent,
                  double assumed);
  /// Sets the number of requests in progress, and that of streams that wait for
  /// decode memory.
  void SetInProgress(int requests, int waiting);

 private:
  metrics_registry& registry_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DISPATCH_METRICS_H_
