#include "load_tool/load_summary.h"

#include <algorithm>
#include <cmath>

#include "upstreams/json_reader.h"

namespace anvilridge {
namespace {

double NearestRank(const std::vector<absl::Duration>& sorted, double share) {
  const auto rank = static_cast<size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return absl::ToDoubleMilliseconds(sorted[std::max<size_t>(rank, 1) - 1]);
}

kind_summary& SummaryOf(load_summary& summary, load_kind kind) {
  switch (kind) {
    case load_kind::posting:
      return summary.postings;
    case load_kind::lookup:
      return summary.lookups;
    case load_kind::completion:
      break;
  }
  return summary.completions;
}

void Count(kind_summary& summary, const request_sample& sample, bool well) {
  ++summary.requests;
  summary.failed_connections += sample.failed_connections;
  summary.resumes += sample.resumes;
  if (sample.result == load_result::whole) ++summary.whole;
  if (sample.result == load_result::refused) ++summary.refusals[sample.error];
  if (sample.result == load_result::failed) ++summary.failures[sample.error];
  if (well) ++summary.served_well;
}

double ShareServedWell(absl::Span<const request_sample> samples,
                       const latency_targets& targets, absl::Duration from,
                       absl::Duration to) {
  int arrived = 0;
  int well = 0;
  for (const request_sample& sample : samples) {
    if (sample.kind != load_kind::completion) continue;
    if (sample.at < from || sample.at >= to) continue;
    ++arrived;
    if (ServedWell(sample, targets)) ++well;
  }
  return static_cast<double>(well) / std::max(1, arrived);
}

QJsonObject ToJson(const percentiles& p) {
  return {{"p50", p.p50}, {"p95", p.p95}, {"p99", p.p99}};
}

QJsonObject ToJson(const std::map<std::string, int>& counts) {
  QJsonObject json;
  for (const auto& [name, count] : counts) json[ToQString(name)] = count;
  return json;
}

QJsonObject ToJson(const kind_summary& kind) {
  return {{"requests", kind.requests},
          {"whole", kind.whole},
          {"served_well", kind.served_well},
          {"failed_connections", kind.failed_connections},
          {"resumes", kind.resumes},
          {"refusals", ToJson(kind.refusals)},
          {"failures", ToJson(kind.failures)},
          {"total_ms", ToJson(kind.total)}};
}

}  // namespace

percentiles PercentilesOf(std::vector<absl::Duration> times) {
  percentiles result;
  if (times.empty()) return result;
  std::sort(times.begin(), times.end());
  result.p50 = NearestRank(times, 0.50);
  result.p95 = NearestRank(times, 0.95);
  result.p99 = NearestRank(times, 0.99);
  return result;
}

bool ServedWell(const request_sample& sample, const latency_targets& targets) {
  if (sample.result != load_result::whole) return false;
  if (sample.kind != load_kind::completion) return true;
  if (sample.first_token > targets.first_token) return false;
  if (sample.gaps.empty()) return true;
  absl::Duration sum;
  for (const absl::Duration gap : sample.gaps) sum += gap;
  return sum <= targets.between_tokens * sample.gaps.size();
}

load_summary Summarise(absl::Span<const request_sample> samples,
                       const latency_targets& targets, absl::Duration from,
                       absl::Duration to) {
  load_summary summary;
  std::vector<absl::Duration> first;
  std::vector<absl::Duration> gaps;
  std::map<load_kind, std::vector<absl::Duration>> totals;
  int tokens = 0;
  for (const request_sample& sample : samples) {
    if (sample.at < from || sample.at >= to) continue;
    Count(SummaryOf(summary, sample.kind), sample, ServedWell(sample, targets));
    if (sample.result == load_result::whole) {
      totals[sample.kind].push_back(sample.total);
    }
    tokens += sample.tokens;
    if (sample.tokens > 0) first.push_back(sample.first_token);
    gaps.insert(gaps.end(), sample.gaps.begin(), sample.gaps.end());
  }
  for (auto& [kind, times] : totals) {
    SummaryOf(summary, kind).total = PercentilesOf(std::move(times));
  }
  const double seconds = absl::ToDoubleSeconds(to - from);
  const kind_summary& completions = summary.completions;
  summary.first_token = PercentilesOf(std::move(first));
  summary.between_tokens = PercentilesOf(std::move(gaps));
  summary.goodput = completions.served_well / seconds;
  summary.goodput_share = static_cast<double>(completions.served_well) /
                          std::max(1, completions.requests);
  summary.tokens_per_second = tokens / seconds;
  return summary;
}

double recovery_summary::Ratio() const {
  if (served_well_before <= 0) return 0;
  return served_well_after / served_well_before;
}

recovery_summary SummariseRecovery(absl::Span<const request_sample> samples,
                                   const latency_targets& targets,
                                   absl::Duration from, absl::Duration fault,
                                   absl::Duration recovery, absl::Duration to) {
  recovery_summary result;
  result.served_well_before = ShareServedWell(samples, targets, from, fault);
  result.served_well_after =
      ShareServedWell(samples, targets, fault + recovery, to);
  return result;
}

QJsonObject ToJson(const load_summary& summary) {
  return {{"goodput", summary.goodput},
          {"goodput_share", summary.goodput_share},
          {"tokens_per_second", summary.tokens_per_second},
          {"first_token_ms", ToJson(summary.first_token)},
          {"between_tokens_ms", ToJson(summary.between_tokens)},
          {"completions", ToJson(summary.completions)},
          {"postings", ToJson(summary.postings)},
          {"lookups", ToJson(summary.lookups)}};
}

}  // namespace anvilridge
