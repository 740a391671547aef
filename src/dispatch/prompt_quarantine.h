#ifndef ANVILRIDGE_DISPATCH_PROMPT_QUARANTINE_H_
#define ANVILRIDGE_DISPATCH_PROMPT_QUARANTINE_H_

#include <vector>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dispatch/fleet_request.h"
#include "fleet/fleet_upstream.h"
#include "quarantine/crash_evidence.h"
#include "quarantine/part_successes.h"
#include "quarantine/quarantine_text.h"
#include "quarantine/quarantine_verdict.h"

namespace anvilridge {

struct dispatch_state;

/// What a daemon knows of prompts that crash engines of one stage.
struct prompt_quarantine {
  crash_evidence evidence;
  part_successes successes;
  /// Verdicts that follow from `evidence`.
  std::vector<quarantine_verdict> verdicts;
};

/// The same for both stages of model engines.
struct prompt_quarantines {
  prompt_quarantine prefill;
  prompt_quarantine decode;
};

/// Records that `engine` has crashed before it sent a result for a prompt with
/// `parts`: the first event at a decode engine, the response at a prefill
/// engine.
void RecordEngineCrash(dispatch_state& state, const fleet_upstream& engine,
                       absl::Span<const prompt_part> parts);

/// Records that an engine of `stage` has sent such a result.
void RecordPromptHandled(dispatch_state& state, engine_stage stage,
                         absl::Span<const prompt_part> parts);

/// Returns what this daemon knows, to be sent to the other daemons.
staged_evidence Evidence(const dispatch_state& state);

/// Adds what another daemon knows.
void ReceiveEvidence(dispatch_state& state, const staged_evidence& evidence);

/// Removes old evidence. Called periodically.
void ExpireEvidence(dispatch_state& state);

/// Returns the evidence and the verdicts, for operators.
quarantine_report QuarantineReport(const dispatch_state& state);

/// Lifts the quarantine of `part` at all daemons: its crashes so far no longer
/// count.
void LiftQuarantine(dispatch_state& state, prompt_part part);

/// Returns whether `request` must not be sent to engines of `stage` because of
/// a part of its prompt.
bool IsQuarantined(const dispatch_state& state, engine_stage stage,
                   const fleet_request& request);

/// Returns whether `request`, which is quarantined, may be sent once to find
/// out whether engines of `stage` still crash, and records the trial if so.
bool BeginTrial(dispatch_state& state, engine_stage stage,
                const fleet_request& request, absl::Time now);

/// Returns the error for a request that is quarantined for decode engines, with
/// the time until the next trial.
/// @param may_have_run whether an engine may have run the request, which must
///     not run again.
absl::Status QuarantineError(const dispatch_state& state,
                             const fleet_request& request, bool may_have_run,
                             absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_PROMPT_QUARANTINE_H_
