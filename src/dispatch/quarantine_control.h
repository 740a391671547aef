#ifndef ANVILRIDGE_DISPATCH_QUARANTINE_CONTROL_H_
#define ANVILRIDGE_DISPATCH_QUARANTINE_CONTROL_H_

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dispatch/fleet_request.h"
#include "fleet/fleet_upstream.h"
#include "quarantine/prompt_quarantine.h"

namespace anvilridge {

struct dispatch_state;

/// Records that `engine` has crashed before it sent a result for a prompt with
/// `parts`: the first event at a decode engine, the response at a prefill
/// engine.
void RecordEngineCrash(dispatch_state& state, const fleet_upstream& engine,
                       absl::Span<const prompt_part> parts);

/// Records that an engine of `stage` has sent such a result.
void RecordPromptHandled(dispatch_state& state, engine_stage stage,
                         absl::Span<const prompt_part> parts);

/// Adds what another daemon knows.
void ReceiveEvidence(dispatch_state& state, const staged_evidence& evidence);

/// Removes old evidence. Called periodically.
void ExpireEvidence(dispatch_state& state);

/// Lifts the verdicts that name `part` at all daemons.
void LiftQuarantine(dispatch_state& state, prompt_part part);

/// Returns whether `request` must not be sent to engines of `stage` because of
/// its prompt.
bool IsQuarantined(const dispatch_state& state, engine_stage stage,
                   const fleet_request& request);

/// Returns whether `request`, which is quarantined, may be sent once to find
/// out whether engines of `stage` still crash, and records the trial if so.
bool BeginTrial(dispatch_state& state, engine_stage stage,
                const fleet_request& request, absl::Time now);

/// Returns the error for a request that is quarantined for decode engines.
/// @param may_have_run whether an engine may have run the request.
/// @param may_run_again whether its caller may send it again after that.
absl::Status QuarantineError(const dispatch_state& state,
                             const fleet_request& request, bool may_have_run,
                             bool may_run_again, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_QUARANTINE_CONTROL_H_
