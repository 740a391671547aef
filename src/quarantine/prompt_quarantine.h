#ifndef ANVILRIDGE_QUARANTINE_PROMPT_QUARANTINE_H_
#define ANVILRIDGE_QUARANTINE_PROMPT_QUARANTINE_H_

#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "quarantine/crash_evidence.h"
#include "quarantine/part_successes.h"
#include "quarantine/quarantine_text.h"
#include "quarantine/quarantine_verdict.h"

namespace anvilridge {

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

/// What follows from a change of the evidence.
enum class evidence_change {
  none,
  /// Other daemons are to be told.
  news,
  /// The same, and a verdict has begun.
  new_verdict,
};

/// Records a crash. Logs the verdicts that begin or end, here and below, with
/// `stage`.
evidence_change RecordCrash(prompt_quarantine& quarantine,
                            absl::string_view stage, crash_report report,
                            absl::Time now);

/// Records that an engine has sent the first result for a prompt with `parts`.
evidence_change RecordHandled(prompt_quarantine& quarantine,
                              absl::string_view stage,
                              absl::Span<const prompt_part> parts,
                              absl::Time now);

/// Adds what another daemon knows.
evidence_change AddEvidence(prompt_quarantine& quarantine,
                            absl::string_view stage,
                            const crash_evidence& evidence, absl::Time now);

/// Removes old evidence. Called periodically.
void RemoveOldEvidence(prompt_quarantine& quarantine, absl::string_view stage,
                       absl::Time now);

/// Lifts all verdicts that name `part`: their crashes no longer count.
evidence_change LiftVerdicts(prompt_quarantine& quarantine,
                             absl::string_view stage, prompt_part part,
                             absl::Time now);

/// Records that a request is sent as a trial of the verdicts that hold back a
/// prompt with `parts`.
void RecordTrials(prompt_quarantine& quarantine, absl::string_view stage,
                  absl::Span<const prompt_part> parts, absl::Time now);

/// Returns the error for a request that `verdict` holds back, as not run, with
/// the time until the next trial.
absl::Status QuarantineError(const quarantine_verdict& verdict, absl::Time now);

/// Returns the evidence of both stages, to be sent to the other daemons.
staged_evidence EvidenceOf(const prompt_quarantines& quarantines);

/// Returns the evidence and the verdicts, for operators.
quarantine_report ReportOf(const prompt_quarantines& quarantines);

}  // namespace anvilridge

#endif  // ANVILRIDGE_QUARANTINE_PROMPT_QUARANTINE_H_
