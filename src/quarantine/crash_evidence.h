#ifndef ANVILRIDGE_QUARANTINE_CRASH_EVIDENCE_H_
#define ANVILRIDGE_QUARANTINE_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "quarantine/prompt_part.h"

namespace anvilridge {

/// A crash of an engine, with the parts of a prompt for which it was about to
/// send the first event. Other prompts at the engine may have been in the same
/// position, so that a crash may have several reports.
struct crash_report {
  /// Hash of the engine that crashed, and of its start if that is known.
  uint32_t engine = 0;
  absl::Time time;
  prompt_parts parts;
};

/// What is known of a part that is named in a report.
struct part_record {
  /// When an engine last sent an event for a prompt with this part.
  absl::Time last_success = absl::InfinitePast();
  /// When a request with this part was last sent to an engine although the part
  /// was quarantined.
  absl::Time last_trial = absl::InfinitePast();
};

/// Crashes of engines that a prompt may have caused, as far as a daemon knows
/// from its own runs and from other daemons. Daemons with the same evidence
/// reach the same verdicts. Reports and records are merged in any order, and
/// any number of times, with the same result, since two crashes of an engine
/// are further apart than `kMinRestartTime`.
struct crash_evidence {
  /// In order of time; at most `kMaxCrashReports`.
  std::vector<crash_report> reports;
  /// Records of parts that are named in `reports`.
  std::map<prompt_part, part_record> parts;
  /// When an engine last sent the first event of a run, for any prompt.
  absl::Time last_success = absl::InfinitePast();
};

/// Evidence of the engines of each stage: a prompt that crashes prefill engines
/// may be sound for decode engines, and the other way round.
struct staged_evidence {
  crash_evidence prefill;
  crash_evidence decode;
};

/// Limits on the evidence that a daemon keeps and sends.
inline constexpr size_t kMaxCrashReports = 32;
inline constexpr size_t kMaxPartsPerReport = 65;

/// Time for which a report is kept.
inline constexpr absl::Duration kCrashReportLifetime = absl::Hours(1);

/// A crash counts against no part that an engine has handled since, or within
/// this time before: a part that crashes engines does so each time.
inline constexpr absl::Duration kSuccessCover = absl::Seconds(10);

/// Reports of one engine within this time are of the same crash: it takes
/// longer to start again.
inline constexpr absl::Duration kMinRestartTime = absl::Seconds(2);

/// Adds a report, of whose parts only the first `kMaxPartsPerReport` are kept.
/// Beyond `kMaxCrashReports` the report is removed whose parts have the fewest
/// crashes against them, the oldest of several.
/// @return whether the report is new and kept.
bool AddCrashReport(crash_evidence& evidence, crash_report report);

/// Records that an engine sent an event for a prompt with `part` at `time`.
/// Parts without a report are ignored.
/// @return whether a crash no longer counts against the part.
bool RecordPartSuccess(crash_evidence& evidence, prompt_part part,
                       absl::Time time);

/// Records that a request with the quarantined `part` is sent at `time`.
void RecordTrial(crash_evidence& evidence, prompt_part part, absl::Time time);

/// Adds what another daemon knows. Times in messages are late by the delay of
/// the message, so that records less than a second younger than the known ones
/// are ignored.
/// @return whether a report, a trial or a success that clears a part is new.
bool MergeEvidence(crash_evidence& evidence, const crash_evidence& other);

/// Removes reports that are older than `kCrashReportLifetime`.
void RemoveOldReports(crash_evidence& evidence, absl::Time now);

/// A crash that counts against a part.
struct counted_crash {
  uint32_t engine = 0;
  absl::Time time;
};

/// Returns whether both are the same crash.
bool IsSameCrash(const counted_crash& a, const counted_crash& b);

/// Returns the crashes that count against `part`, each once, in the order of
/// the engines' hashes and of time.
std::vector<counted_crash> CrashesAgainst(const crash_evidence& evidence,
                                          prompt_part part);

}  // namespace anvilridge

#endif  // ANVILRIDGE_QUARANTINE_CRASH_EVIDENCE_H_
