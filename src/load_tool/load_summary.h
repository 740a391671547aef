#ifndef ANVILRIDGE_LOAD_TOOL_LOAD_SUMMARY_H_
#define ANVILRIDGE_LOAD_TOOL_LOAD_SUMMARY_H_

#include <QJsonObject>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "load_tool/load_profile.h"
#include "load_tool/load_sample.h"

namespace anvilridge {

/// Percentiles of a set of times, in milliseconds.
struct percentiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

/// Returns the percentiles of `times` by nearest rank; zeros for none.
percentiles PercentilesOf(std::vector<absl::Duration> times);

/// Whether the answer was whole and within both latency targets: its first
/// token, and the mean time between its tokens.
bool ServedWell(const request_sample& sample, const latency_targets& targets);

/// What one kind of request met in one run.
struct kind_summary {
  int requests = 0;
  int whole = 0;
  /// Whole and, for completions, within both targets.
  int served_well = 0;
  int failed_connections = 0;
  /// Streams that broke off and went on through another daemon.
  int resumes = 0;
  std::map<std::string, int> refusals;
  std::map<std::string, int> failures;
  percentiles total;
};

/// The figures of one run, of the requests that arrived while it was measured.
struct load_summary {
  kind_summary completions;
  kind_summary postings;
  kind_summary lookups;
  percentiles first_token;
  percentiles between_tokens;
  /// Completions served well per second, and as a share of those sent.
  double goodput = 0;
  double goodput_share = 0;
  double tokens_per_second = 0;
};

/// Summarises the samples that arrived in [`from`, `to`) of the run.
load_summary Summarise(absl::Span<const request_sample> samples,
                       const latency_targets& targets, absl::Duration from,
                       absl::Duration to);

/// How a deployment served before a fault and after it had time to recover, as
/// shares of the completions that arrived then.
struct recovery_summary {
  double served_well_before = 0;
  double served_well_after = 0;

  /// Share after the fault relative to before it; 0 when none was served.
  double Ratio() const;
};

/// Compares arrivals in [`from`, `fault`) with those in
/// [`fault + recovery`, `to`).
recovery_summary SummariseRecovery(absl::Span<const request_sample> samples,
                                   const latency_targets& targets,
                                   absl::Duration from, absl::Duration fault,
                                   absl::Duration recovery, absl::Duration to);

/// Returns the summary as the JSON that `--report` reads.
QJsonObject ToJson(const load_summary& summary);

}  // namespace anvilridge

#endif  // ANVILRIDGE_LOAD_TOOL_LOAD_SUMMARY_H_
