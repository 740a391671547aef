#ifndef ANVILRIDGE_REQUESTS_REQUEST_METRICS_H_
#define ANVILRIDGE_REQUESTS_REQUEST_METRICS_H_

#include <functional>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

// Results of requests that did not end with an error kind.

/// Answered whole.
inline constexpr absl::string_view kResultOk = "ok";
/// The caller left before the end.
inline constexpr absl::string_view kResultCallerLeft = "caller_left";
/// A service's own answer with a status of 500 or above was passed on.
inline constexpr absl::string_view kResultUpstreamError = "upstream_error";

// Outcomes of claims that were not refused with an error kind.

/// The answer of an earlier call with the key was sent again.
inline constexpr absl::string_view kClaimReplayed = "replayed";
/// The call ran and its answer is kept.
inline constexpr absl::string_view kClaimSettled = "settled";
/// The call was surely not sent.
inline constexpr absl::string_view kClaimReleased = "released";
/// The call may have run without an answer.
inline constexpr absl::string_view kClaimUnknown = "unknown";

/// What became of the tokens of a finished prefill.
enum class prefill_use { decoded, wasted };

/// Takes one measured duration.
using duration_observer = std::function<void(absl::Duration)>;

/// What the flows tell of their requests, for metrics. Any thread may call each
/// function and each observer.
struct request_metrics {
  /// A request of `route` ended; "" before its route was known.
  std::function<void(absl::string_view route, absl::string_view result)> ended;
  /// A completion of `route` was answered whole and within both targets.
  std::function<void(absl::string_view route)> served_in_target;
  /// A request was refused with `kind`, and told that it did not run.
  std::function<void(absl::string_view kind)> refused;
  /// A request of `route` is tried again at another upstream.
  std::function<void(absl::string_view route)> retried;
  /// A placement ended with `ok` or an error kind, after `wait`.
  std::function<void(absl::string_view result, absl::Duration wait)> placed;
  std::function<void(absl::string_view outcome)> claim_ended;
  std::function<void(int tokens, prefill_use use)> prefilled;
  /// Each returns where to observe the streams of one decode pool; to be kept
  /// for the length of a stream.
  std::function<duration_observer(absl::string_view pool)> first_tokens;
  std::function<duration_observer(absl::string_view pool)> token_intervals;
};

/// Counts a request of `route` that ended with `error`, and its refusal when
/// the error says that it did not run.
void CountFailure(const request_metrics& metrics, absl::string_view route,
                  const absl::Status& error);

/// Returns `ok` or the name of the error kind.
absl::string_view ResultName(const absl::Status& status);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_REQUEST_METRICS_H_
