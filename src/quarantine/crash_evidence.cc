#include "quarantine/crash_evidence.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace anvilridge {
namespace {

// Time by which a record of another daemon must be younger to be news.
constexpr absl::Duration kMinTimeGain = absl::Seconds(1);

bool HasPart(const crash_report& report, prompt_part part) {
  return std::find(report.parts.begin(), report.parts.end(), part) !=
         report.parts.end();
}

bool IsNamed(const crash_evidence& evidence, prompt_part part) {
  return std::any_of(
      evidence.reports.begin(), evidence.reports.end(),
      [part](const crash_report& report) { return HasPart(report, part); });
}

bool IsKnown(const crash_evidence& evidence, const crash_report& report) {
  return std::any_of(evidence.reports.begin(), evidence.reports.end(),
                     [&report](const crash_report& known) {
                       return IsSameCrash({known.engine, known.time},
                                          {report.engine, report.time}) &&
                              known.parts == report.parts;
                     });
}

// Returns the largest number of crashes that count against a part of `report`.
size_t Support(const crash_evidence& evidence, const crash_report& report) {
  size_t support = 0;
  for (const prompt_part part : report.parts) {
    support = std::max(support, CrashesAgainst(evidence, part).size());
  }
  return support;
}

void RemoveUnnamedParts(crash_evidence& evidence) {
  std::erase_if(evidence.parts, [&evidence](const auto& entry) {
    return !IsNamed(evidence, entry.first);
  });
}

// Removes the report that tells least.
void RemoveWeakestReport(crash_evidence& evidence) {
  size_t weakest = 0;
  size_t least = Support(evidence, evidence.reports.front());
  for (size_t i = 1; i < evidence.reports.size(); ++i) {
    const size_t support = Support(evidence, evidence.reports[i]);
    if (support < least) {
      weakest = i;
      least = support;
    }
  }
  evidence.reports.erase(evidence.reports.begin() +
                         static_cast<std::ptrdiff_t>(weakest));
  RemoveUnnamedParts(evidence);
}

}  // namespace

bool AddCrashReport(crash_evidence& evidence, crash_report report) {
  if (report.parts.size() > kMaxPartsPerReport) {
    report.parts.resize(kMaxPartsPerReport);
  }
  if (report.parts.empty() || IsKnown(evidence, report)) return false;
  const auto later = std::upper_bound(
      evidence.reports.begin(), evidence.reports.end(), report.time,
      [](absl::Time time, const crash_report& other) {
        return time < other.time;
      });
  for (const prompt_part part : report.parts) evidence.parts.try_emplace(part);
  evidence.reports.insert(later, report);
  if (evidence.reports.size() <= kMaxCrashReports) return true;
  RemoveWeakestReport(evidence);
  return IsKnown(evidence, report);
}

bool RecordPartSuccess(crash_evidence& evidence, prompt_part part,
                       absl::Time time) {
  const auto found = evidence.parts.find(part);
  if (found == evidence.parts.end()) return false;
  const absl::Time before = found->second.last_success;
  if (time <= before) return false;
  found->second.last_success = time;
  return std::any_of(evidence.reports.begin(), evidence.reports.end(),
                     [&](const crash_report& report) {
                       return report.time > before + kSuccessCover &&
                              report.time <= time + kSuccessCover &&
                              HasPart(report, part);
                     });
}

void RecordTrial(crash_evidence& evidence, prompt_part part, absl::Time time) {
  const auto found = evidence.parts.find(part);
  if (found == evidence.parts.end()) return;
  found->second.last_trial = std::max(found->second.last_trial, time);
}

bool MergeEvidence(crash_evidence& evidence, const crash_evidence& other) {
  bool changed = false;
  if (evidence.last_success + kMinTimeGain < other.last_success) {
    evidence.last_success = other.last_success;
  }
  for (const crash_report& report : other.reports) {
    changed |= AddCrashReport(evidence, report);
  }
  for (const auto& [part, record] : other.parts) {
    const auto known = evidence.parts.find(part);
    if (known == evidence.parts.end()) continue;
    if (known->second.last_success + kMinTimeGain < record.last_success) {
      changed |= RecordPartSuccess(evidence, part, record.last_success);
    }
    if (known->second.last_trial + kMinTimeGain < record.last_trial) {
      RecordTrial(evidence, part, record.last_trial);
      changed = true;
    }
  }
  return changed;
}

void RemoveOldReports(crash_evidence& evidence, absl::Time now) {
  const size_t removed =
      std::erase_if(evidence.reports, [now](const crash_report& report) {
        return report.time + kCrashReportLifetime < now;
      });
  if (removed > 0) RemoveUnnamedParts(evidence);
}

bool IsSameCrash(const counted_crash& a, const counted_crash& b) {
  return a.engine == b.engine &&
         absl::AbsDuration(a.time - b.time) < kMinRestartTime;
}

std::vector<counted_crash> CrashesAgainst(const crash_evidence& evidence,
                                          prompt_part part) {
  std::vector<counted_crash> crashes;
  const auto record = evidence.parts.find(part);
  if (record == evidence.parts.end()) return crashes;
  for (const crash_report& report : evidence.reports) {
    if (report.time <= record->second.last_success + kSuccessCover) continue;
    if (HasPart(report, part)) crashes.push_back({report.engine, report.time});
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const counted_crash& a, const counted_crash& b) {
              return std::tie(a.engine, a.time) < std::tie(b.engine, b.time);
            });
  crashes.erase(std::unique(crashes.begin(), crashes.end(), IsSameCrash),
                crashes.end());
  return crashes;
}

}  // namespace anvilridge
