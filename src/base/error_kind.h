#ifndef ANVILRIDGE_BASE_ERROR_KIND_H_
#define ANVILRIDGE_BASE_ERROR_KIND_H_

#include <optional>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/run_state.h"

namespace anvilridge {

/// The closed list of reasons for which a request is refused or fails.
enum class error_kind {
  malformed_request,
  malformed_command,
  body_too_large,
  headers_too_large,
  request_timeout,
  method_not_allowed,
  unknown_route,
  missing_credential,
  unknown_credential,
  forbidden,
  not_found,
  too_many_connections,
  rate_limited,
  concurrency_limited,
  overloaded,
  latency_unattainable,
  deadline_exceeded,
  no_upstream,
  upstream_refused,
  upstream_failed,
  upstream_stalled,
  prompt_quarantined,
  slow_reader,
  shutting_down,
  not_ready,
  log_unavailable,
  key_required,
  key_malformed,
  key_expired,
  key_conflict,
  key_in_progress,
  outcome_unknown,
  cancelled,
  lease_lost,
  resume_fenced,
  resume_gone,
  config_contested,
  config_invalid,
  internal,
};

/// One row of the table from error kind to answer.
struct error_answer {
  error_kind kind;
  /// Stable name in logs, metrics and the `type` member of a problem.
  absl::string_view name;
  int http_status;
  /// What the answer says of execution unless the caller of the table knows
  /// better.
  run_state ran;
  /// Sent as `Retry-After` when positive.
  absl::Duration retry_after;
  absl::string_view title;
};

/// Returns the table row for `kind`.
const error_answer& AnswerFor(error_kind kind);

/// Returns the kind whose stable name is `name`, or nothing.
std::optional<error_kind> ErrorKindNamed(absl::string_view name);

/// Makes a status that carries `kind`; `detail` is shown to the caller.
absl::Status MakeError(error_kind kind, absl::string_view detail);

/// As above, overriding the table's execution state and, when positive, its
/// retry delay.
absl::Status MakeError(error_kind kind, absl::string_view detail, run_state ran,
                       absl::Duration retry_after = absl::ZeroDuration());

/// Returns `error` with the execution state `ran`, all else as it is.
absl::Status WithRunState(const absl::Status& error, run_state ran);

/// Returns `error` with `unknown` in place of `not_run`: for a refused attempt
/// of a request that an earlier or another attempt may have run.
absl::Status WithoutNotRun(const absl::Status& error);

/// Returns the kind that `status` carries; `internal` when it carries none.
error_kind KindOf(const absl::Status& status);

/// Returns the execution state that `status` carries.
run_state RunStateOf(const absl::Status& status);

/// Returns the delay after which the caller may come back; zero for none.
absl::Duration RetryAfterOf(const absl::Status& status);

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_ERROR_KIND_H_
