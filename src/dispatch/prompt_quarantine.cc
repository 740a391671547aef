#include "dispatch/prompt_quarantine.h"

#include <QJsonObject>
#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "dispatch/dispatch_state.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

void LogVerdict(const quarantine_verdict& verdict, absl::string_view stage,
                absl::Time now) {
  LogEvent(
      log_level::error, "prompt_part_quarantined",
      {{"part", QtText(PromptPartName(verdict.part))},
       {"stage", QtText(stage)},
       {"companions", QtText(PromptPartNames(verdict.companions))},
       {"engines", static_cast<double>(verdict.engines.size())},
       {"first_crash_ms_ago", static_cast<double>(absl::ToInt64Milliseconds(
                                  now - verdict.first_crash))},
       {"next_trial_ms", static_cast<double>(absl::ToInt64Milliseconds(
                             verdict.next_trial - now))}});
}

absl::string_view StageText(engine_stage stage) {
  return stage == engine_stage::prefill ? "prefill" : "decode";
}

prompt_quarantine& QuarantineOf(dispatch_state& state, engine_stage stage) {
  return stage == engine_stage::prefill ? state.quarantines.prefill
                                        : state.quarantines.decode;
}

const prompt_quarantine& QuarantineOf(const dispatch_state& state,
                                      engine_stage stage) {
  return stage == engine_stage::prefill ? state.quarantines.prefill
                                        : state.quarantines.decode;
}

bool HasVerdict(absl::Span<const quarantine_verdict> verdicts,
                prompt_part part) {
  return std::any_of(verdicts.begin(), verdicts.end(),
                     [part](const quarantine_verdict& verdict) {
                       return verdict.part == part;
                     });
}

// Lets the streams that aren't sent yet, or have no event yet, end if they are
// quarantined now.
void EndQuarantinedStreams(dispatch_state& state) {
  // Runs later, since a stream may be what has changed the evidence.
  RunAfter(state.context, absl::ZeroDuration(),
           [open = std::weak_ptr(state.open_requests)] {
             if (const auto table = open.lock()) EndQuarantinedRequests(*table);
           });
}

// Updates the verdicts after a change of the evidence.
void UpdateVerdicts(dispatch_state& state, engine_stage stage) {
  prompt_quarantine& quarantine = QuarantineOf(state, stage);
  const absl::Time now = MonotonicNow();
  const std::vector<quarantine_verdict> before =
      std::exchange(quarantine.verdicts, FindVerdicts(quarantine.evidence));
  bool is_new = false;
  for (const quarantine_verdict& verdict : quarantine.verdicts) {
    if (HasVerdict(before, verdict.part)) continue;
    LogVerdict(verdict, StageText(stage), now);
    is_new = true;
  }
  for (const quarantine_verdict& verdict : before) {
    if (HasVerdict(quarantine.verdicts, verdict.part)) continue;
    LogEvent(log_level::warn, "prompt_part_released",
             {{"part", QtText(PromptPartName(verdict.part))},
              {"stage", QtText(StageText(stage))}});
  }
  state.metrics->SetQuarantinedParts(
      StageText(stage), static_cast<int>(quarantine.verdicts.size()));
  if (is_new) EndQuarantinedStreams(state);
}

void ApplyChange(dispatch_state& state, engine_stage stage) {
  UpdateVerdicts(state, stage);
  if (state.on_evidence_change) state.on_evidence_change();
}

// Counts the recent successes of this daemon for the parts in the evidence.
void ApplyOwnSuccesses(prompt_quarantine& quarantine) {
  for (const auto& [part, record] : quarantine.evidence.parts) {
    RecordPartSuccess(quarantine.evidence, part,
                      LastSuccess(quarantine.successes, part));
  }
}

void MergeStage(dispatch_state& state, engine_stage stage,
                const crash_evidence& evidence) {
  prompt_quarantine& quarantine = QuarantineOf(state, stage);
  if (!MergeEvidence(quarantine.evidence, evidence)) return;
  ApplyOwnSuccesses(quarantine);
  ApplyChange(state, stage);
}

void ExpireStage(dispatch_state& state, engine_stage stage) {
  prompt_quarantine& quarantine = QuarantineOf(state, stage);
  if (quarantine.evidence.reports.empty()) return;
  RemoveOldReports(quarantine.evidence, MonotonicNow());
  UpdateVerdicts(state, stage);
}

void LiftStage(dispatch_state& state, engine_stage stage, prompt_part part) {
  prompt_quarantine& quarantine = QuarantineOf(state, stage);
  if (!HasVerdict(quarantine.verdicts, part)) return;
  LogEvent(log_level::warn, "quarantine_lifted",
           {{"part", QtText(PromptPartName(part))},
            {"stage", QtText(StageText(stage))}});
  RecordPartSuccess(quarantine.evidence, part, MonotonicNow());
  ApplyChange(state, stage);
}

std::optional<quarantine_verdict> VerdictOn(const dispatch_state& state,
                                            engine_stage stage,
                                            const fleet_request& request) {
  return VerdictAgainst(QuarantineOf(state, stage).verdicts,
                        request.shared_parts);
}

}  // namespace

void RecordEngineCrash(dispatch_state& state, const fleet_upstream& engine,
                       absl::Span<const prompt_part> parts) {
  prompt_quarantine& quarantine = QuarantineOf(state, engine.stage);
  crash_report report;
  report.engine = InstanceKey(engine.id, engine.started_ms);
  report.time = MonotonicNow();
  report.parts.assign(parts.begin(), parts.end());
  if (!AddCrashReport(quarantine.evidence, std::move(report))) return;
  ApplyOwnSuccesses(quarantine);
  LogEvent(
      log_level::warn, "crash_reported",
      {{"upstream", QtText(engine.id)},
       {"service", QtText(engine.service)},
       {"stage", QtText(StageText(engine.stage))},
       {"parts", QtText(PromptPartNames(parts))},
       {"reports", static_cast<double>(quarantine.evidence.reports.size())}});
  state.metrics->CountCrashReport(engine.service);
  ApplyChange(state, engine.stage);
}

void RecordPromptHandled(dispatch_state& state, engine_stage stage,
                         absl::Span<const prompt_part> parts) {
  prompt_quarantine& quarantine = QuarantineOf(state, stage);
  const absl::Time now = MonotonicNow();
  bool changed = false;
  for (const prompt_part part : parts) {
    RecordSuccess(quarantine.successes, part, now);
    changed |= RecordPartSuccess(quarantine.evidence, part, now);
  }
  const absl::Time before =
      std::exchange(quarantine.evidence.last_success, now);
  if (changed) return ApplyChange(state, stage);
  // The first success after a crash confirms the verdicts on it.
  const std::vector<crash_report>& reports = quarantine.evidence.reports;
  if (!reports.empty() && before <= reports.back().time) {
    UpdateVerdicts(state, stage);
  }
}

staged_evidence Evidence(const dispatch_state& state) {
  return {state.quarantines.prefill.evidence,
          state.quarantines.decode.evidence};
}

void ReceiveEvidence(dispatch_state& state, const staged_evidence& evidence) {
  MergeStage(state, engine_stage::prefill, evidence.prefill);
  MergeStage(state, engine_stage::decode, evidence.decode);
}

void ExpireEvidence(dispatch_state& state) {
  ExpireStage(state, engine_stage::prefill);
  ExpireStage(state, engine_stage::decode);
}

quarantine_report QuarantineReport(const dispatch_state& state) {
  const prompt_quarantines& known = state.quarantines;
  return {{known.prefill.evidence, known.prefill.verdicts},
          {known.decode.evidence, known.decode.verdicts}};
}

void LiftQuarantine(dispatch_state& state, prompt_part part) {
  LiftStage(state, engine_stage::prefill, part);
  LiftStage(state, engine_stage::decode, part);
}

bool IsQuarantined(const dispatch_state& state, engine_stage stage,
                   const fleet_request& request) {
  return VerdictOn(state, stage, request).has_value();
}

bool BeginTrial(dispatch_state& state, engine_stage stage,
                const fleet_request& request, absl::Time now) {
  const auto verdict = VerdictOn(state, stage, request);
  if (!verdict || now < verdict->next_trial) return false;
  LogEvent(log_level::warn, "quarantine_trial",
           {{"request", QtText(request.id)},
            {"stage", QtText(StageText(stage))},
            {"part", QtText(PromptPartName(verdict->part))}});
  prompt_quarantine& quarantine = QuarantineOf(state, stage);
  for (const quarantine_verdict& tried : quarantine.verdicts) {
    if (!VerdictAgainst({&tried, 1}, request.shared_parts)) continue;
    RecordTrial(quarantine.evidence, tried.part, now);
  }
  ApplyChange(state, stage);
  return true;
}

absl::Status QuarantineError(const dispatch_state& state,
                             const fleet_request& request, bool may_have_run,
                             absl::Time now) {
  const auto verdict = VerdictOn(state, engine_stage::decode, request);
  if (!verdict) return MakeError(error_kind::internal, "not quarantined");
  const std::string why = absl::StrCat(
      verdict->engines.size(), " engines have crashed on the prompt's part ",
      PromptPartName(verdict->part));
  if (may_have_run) {
    return MakeError(error_kind::upstream_failed, why, run_state::unknown);
  }
  return MakeError(error_kind::prompt_quarantined, why, run_state::not_run,
                   std::max(absl::Seconds(1), verdict->next_trial - now));
}

}  // namespace anvilridge
