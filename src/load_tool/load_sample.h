#ifndef ANVILRIDGE_LOAD_TOOL_LOAD_SAMPLE_H_
#define ANVILRIDGE_LOAD_TOOL_LOAD_SAMPLE_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "load_tool/arrival_plan.h"

namespace anvilridge {

/// How one request of a run ended.
enum class load_result {
  /// The whole answer arrived.
  whole,
  /// The deployment refused it before any token.
  refused,
  /// It broke, failed, or was given up at its deadline.
  failed,
};

/// What one request of a run met.
struct request_sample {
  load_kind kind = load_kind::completion;
  /// Arrival, from the start of the run.
  absl::Duration at;
  load_result result = load_result::failed;
  /// Name of the error kind, or of the failure seen from outside.
  std::string error;
  absl::Duration first_token;
  absl::Duration total;
  int tokens = 0;
  /// Times between tokens.
  std::vector<absl::Duration> gaps;
  /// Connections that failed before one served it.
  int failed_connections = 0;
  /// Times that its stream broke off and went on through another daemon.
  int resumes = 0;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_LOAD_TOOL_LOAD_SAMPLE_H_
