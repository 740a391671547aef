#include "dispatch/quarantine_control.h"

#include <QJsonObject>
#include <memory>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "dispatch/dispatch_state.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

constexpr engine_stage kStages[] = {engine_stage::prefill,
                                    engine_stage::decode};

absl::string_view StageText(engine_stage stage) {
  return stage == engine_stage::prefill ? "prefill" : "decode";
}

prompt_quarantine& QuarantineOf(dispatch_state& state, engine_stage stage) {
  return stage == engine_stage::prefill ? state.quarantines.prefill
                                        : state.quarantines.decode;
}

// Returns the verdict that holds `request` back, with the time of this daemon's
// next trial.
std::optional<quarantine_verdict> VerdictOn(const dispatch_state& state,
                                            engine_stage stage,
                                            const fleet_request& request) {
  const prompt_quarantine& quarantine = stage == engine_stage::prefill
                                            ? state.quarantines.prefill
                                            : state.quarantines.decode;
  auto verdict = VerdictAgainst(quarantine.verdicts, request.shared_parts);
  if (verdict) verdict->next_trial = TrialTime(*verdict, state.name);
  return verdict;
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

void ApplyChange(dispatch_state& state, engine_stage stage,
                 evidence_change change) {
  const size_t verdicts = QuarantineOf(state, stage).verdicts.size();
  state.metrics->SetQuarantineVerdicts(StageText(stage),
                                       static_cast<int>(verdicts));
  if (change == evidence_change::none) return;
  if (change == evidence_change::new_verdict) EndQuarantinedStreams(state);
  if (state.on_evidence_change) state.on_evidence_change();
}

}  // namespace

void RecordEngineCrash(dispatch_state& state, const fleet_upstream& engine,
                       absl::Span<const prompt_part> parts) {
  const absl::Time now = MonotonicNow();
  LogEvent(log_level::warn, "crash_reported",
           {{"upstream", QtText(engine.id)},
            {"service", QtText(engine.service)},
            {"stage", QtText(StageText(engine.stage))},
            {"parts", QtText(PromptPartNames(parts))}});
  state.metrics->CountCrashReport(engine.service);
  crash_report report;
  report.engine = InstanceKey(engine.id, engine.started_ms);
  report.time = now;
  report.parts.assign(parts.begin(), parts.end());
  ApplyChange(state, engine.stage,
              RecordCrash(QuarantineOf(state, engine.stage),
                          StageText(engine.stage), std::move(report), now));
}

void RecordPromptHandled(dispatch_state& state, engine_stage stage,
                         absl::Span<const prompt_part> parts) {
  const evidence_change change = RecordHandled(
      QuarantineOf(state, stage), StageText(stage), parts, MonotonicNow());
  if (change != evidence_change::none) ApplyChange(state, stage, change);
}

void ReceiveEvidence(dispatch_state& state, const staged_evidence& evidence) {
  for (const engine_stage stage : kStages) {
    const crash_evidence& received =
        stage == engine_stage::prefill ? evidence.prefill : evidence.decode;
    ApplyChange(state, stage,
                AddEvidence(QuarantineOf(state, stage), StageText(stage),
                            received, MonotonicNow()));
  }
}

void ExpireEvidence(dispatch_state& state) {
  for (const engine_stage stage : kStages) {
    RemoveOldEvidence(QuarantineOf(state, stage), StageText(stage),
                      MonotonicNow());
    ApplyChange(state, stage, evidence_change::none);
  }
}

void LiftQuarantine(dispatch_state& state, prompt_part part) {
  for (const engine_stage stage : kStages) {
    ApplyChange(state, stage,
                LiftVerdicts(QuarantineOf(state, stage), StageText(stage), part,
                             MonotonicNow()));
  }
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
            {"parts", QtText(PromptPartNames(verdict->parts))}});
  RecordTrials(QuarantineOf(state, stage), StageText(stage),
               request.shared_parts, now);
  ApplyChange(state, stage, evidence_change::news);
  return true;
}

absl::Status QuarantineError(const dispatch_state& state,
                             const fleet_request& request, bool may_have_run,
                             bool may_run_again, absl::Time now) {
  const auto verdict = VerdictOn(state, engine_stage::decode, request);
  if (!verdict) return MakeError(error_kind::internal, "not quarantined");
  absl::Status error = QuarantineError(*verdict, now);
  if (!may_have_run) return error;
  if (may_run_again) return WithoutNotRun(error);
  return MakeError(error_kind::upstream_failed, error.message(),
                   run_state::unknown);
}

}  // namespace anvilridge
