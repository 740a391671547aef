#ifndef ANVILRIDGE_QUARANTINE_QUARANTINE_TEXT_H_
#define ANVILRIDGE_QUARANTINE_QUARANTINE_TEXT_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "quarantine/crash_evidence.h"
#include "quarantine/quarantine_verdict.h"

namespace anvilridge {

/// The evidence of a daemon for one stage and the verdicts that follow from it.
struct stage_quarantine {
  crash_evidence evidence;
  std::vector<quarantine_verdict> verdicts;
};

/// What a daemon knows of prompts that crash engines, by stage.
struct quarantine_report {
  stage_quarantine prefill;
  stage_quarantine decode;
};

/// Returns whether a verdict of a stage names `part`.
bool IsQuarantined(const quarantine_report& report, prompt_part part);

/// Returns `report` for operators, as a JSON object of one line with the
/// verdicts and the crashes of each stage, times in seconds relative to `now`.
std::string QuarantineText(const quarantine_report& report, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_QUARANTINE_QUARANTINE_TEXT_H_
