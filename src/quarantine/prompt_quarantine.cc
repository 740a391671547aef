#include "quarantine/prompt_quarantine.h"

#include <QJsonObject>
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/qt_text.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kMinRetryAfter = absl::Seconds(1);

double Milliseconds(absl::Duration duration) {
  return static_cast<double>(absl::ToInt64Milliseconds(duration));
}

void LogVerdict(const quarantine_verdict& verdict, absl::string_view stage,
                absl::Time now) {
  LogEvent(log_level::error, "prompt_part_quarantined",
           {{"stage", QtText(stage)},
            {"parts", QtText(PromptPartNames(verdict.parts))},
            {"engines", static_cast<double>(verdict.engines.size())},
            {"first_crash_ms_ago", Milliseconds(now - verdict.first_crash)},
            {"next_trial_ms", Milliseconds(verdict.next_trial - now)}});
}

bool HasVerdict(absl::Span<const quarantine_verdict> verdicts,
                const prompt_parts& parts) {
  return std::any_of(verdicts.begin(), verdicts.end(),
                     [&parts](const quarantine_verdict& verdict) {
                       return verdict.parts == parts;
                     });
}

// Updates the verdicts after a change of the evidence, and returns `otherwise`
// if none has begun.
evidence_change UpdateVerdicts(prompt_quarantine& quarantine,
                               absl::string_view stage,
                               evidence_change otherwise, absl::Time now) {
  const std::vector<quarantine_verdict> before =
      std::exchange(quarantine.verdicts,
                    FindVerdicts(quarantine.evidence, quarantine.verdicts));
  evidence_change change = otherwise;
  for (const quarantine_verdict& verdict : quarantine.verdicts) {
    if (HasVerdict(before, verdict.parts)) continue;
    LogVerdict(verdict, stage, now);
    change = evidence_change::new_verdict;
  }
  for (const quarantine_verdict& verdict : before) {
    if (HasVerdict(quarantine.verdicts, verdict.parts)) continue;
    LogEvent(log_level::warn, "prompt_part_released",
             {{"stage", QtText(stage)},
              {"parts", QtText(PromptPartNames(verdict.parts))}});
  }
  return change;
}

// Counts the recent successes of this daemon for the parts in the evidence.
void ApplyOwnSuccesses(prompt_quarantine& quarantine) {
  for (const auto& [part, record] : quarantine.evidence.parts) {
    RecordPartSuccess(quarantine.evidence, part,
                      LastSuccess(quarantine.successes, part));
  }
}

}  // namespace

evidence_change RecordCrash(prompt_quarantine& quarantine,
                            absl::string_view stage, crash_report report,
                            absl::Time now) {
  if (!AddCrashReport(quarantine.evidence, std::move(report))) {
    return evidence_change::none;
  }
  ApplyOwnSuccesses(quarantine);
  return UpdateVerdicts(quarantine, stage, evidence_change::news, now);
}

evidence_change RecordHandled(prompt_quarantine& quarantine,
                              absl::string_view stage,
                              absl::Span<const prompt_part> parts,
                              absl::Time now) {
  bool changed = false;
  for (const prompt_part part : parts) {
    RecordSuccess(quarantine.successes, part, now);
    changed |= RecordPartSuccess(quarantine.evidence, part, now);
  }
  const absl::Time before =
      std::exchange(quarantine.evidence.last_success, now);
  if (changed) {
    return UpdateVerdicts(quarantine, stage, evidence_change::news, now);
  }
  const std::vector<crash_report>& reports = quarantine.evidence.reports;
  if (reports.empty() || before > reports.back().time) {
    return evidence_change::none;
  }
  // The first success after a crash confirms the verdicts on it.
  return UpdateVerdicts(quarantine, stage, evidence_change::none, now);
}

evidence_change AddEvidence(prompt_quarantine& quarantine,
                            absl::string_view stage,
                            const crash_evidence& evidence, absl::Time now) {
  if (!MergeEvidence(quarantine.evidence, evidence)) {
    return evidence_change::none;
  }
  ApplyOwnSuccesses(quarantine);
  return UpdateVerdicts(quarantine, stage, evidence_change::news, now);
}

void RemoveOldEvidence(prompt_quarantine& quarantine, absl::string_view stage,
                       absl::Time now) {
  if (quarantine.evidence.reports.empty()) return;
  RemoveOldReports(quarantine.evidence, now);
  UpdateVerdicts(quarantine, stage, evidence_change::none, now);
}

evidence_change LiftVerdicts(prompt_quarantine& quarantine,
                             absl::string_view stage, prompt_part part,
                             absl::Time now) {
  evidence_change change = evidence_change::none;
  for (const quarantine_verdict& verdict : quarantine.verdicts) {
    if (!NamesPart(verdict, part)) continue;
    LogEvent(log_level::warn, "quarantine_lifted",
             {{"stage", QtText(stage)},
              {"parts", QtText(PromptPartNames(verdict.parts))}});
    for (const prompt_part lifted : verdict.parts) {
      RecordPartSuccess(quarantine.evidence, lifted, now);
    }
    change = evidence_change::news;
  }
  if (change == evidence_change::none) return change;
  return UpdateVerdicts(quarantine, stage, change, now);
}

void RecordTrials(prompt_quarantine& quarantine, absl::string_view stage,
                  absl::Span<const prompt_part> parts, absl::Time now) {
  for (const quarantine_verdict& verdict : quarantine.verdicts) {
    if (!HoldsBack(verdict, parts)) continue;
    for (const prompt_part tried : verdict.parts) {
      RecordTrial(quarantine.evidence, tried, now);
    }
  }
  UpdateVerdicts(quarantine, stage, evidence_change::news, now);
}

absl::Status QuarantineError(const quarantine_verdict& verdict,
                             absl::Time now) {
  return MakeError(
      error_kind::prompt_quarantined,
      absl::StrCat(verdict.engines.size(),
                   " engines have crashed on a prompt with the parts ",
                   PromptPartNames(verdict.parts)),
      run_state::not_run, std::max(kMinRetryAfter, verdict.next_trial - now));
}

staged_evidence EvidenceOf(const prompt_quarantines& quarantines) {
  return {quarantines.prefill.evidence, quarantines.decode.evidence};
}

quarantine_report ReportOf(const prompt_quarantines& quarantines) {
  return {{quarantines.prefill.evidence, quarantines.prefill.verdicts},
          {quarantines.decode.evidence, quarantines.decode.verdicts}};
}

}  // namespace anvilridge
