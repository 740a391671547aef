#ifndef ANVILRIDGE_QUARANTINE_QUARANTINE_VERDICT_H_
#define ANVILRIDGE_QUARANTINE_QUARANTINE_VERDICT_H_

#include <optional>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "quarantine/crash_evidence.h"
#include "quarantine/prompt_part.h"

namespace anvilridge {

/// Number of engines that must have crashed on a part before it is quarantined,
/// if the part explains all recent crashes.
inline constexpr size_t kCrashesForQuarantine = 3;

/// Largest number of further crashes that are required. Each recent crash that
/// no such part explains requires one: where engines crash for other reasons
/// too, a prompt may have been at several of them by chance.
inline constexpr size_t kMaxFurtherCrashes = 2;

/// Time before the first crash on a part from which on crashes are recent.
inline constexpr absl::Duration kRecentCrashes = absl::Seconds(10);

/// The crashes must not all fall within this time: engines that crash together
/// have a common cause elsewhere, such as a power failure.
inline constexpr absl::Duration kMinCrashSpread = absl::Milliseconds(100);

/// Time after the last crash or trial after which one more request with a
/// quarantined part is sent, since the engines may have been mended. It doubles
/// with each crash after the verdict, up to the maximum.
inline constexpr absl::Duration kMinTrialInterval = absl::Minutes(1);
inline constexpr absl::Duration kMaxTrialInterval = absl::Minutes(8);

/// The same while no engine has sent an event for any prompt since the crashes
/// began: engines may crash on all prompts, as after a faulty release, and must
/// get work again as soon as that has ended.
inline constexpr absl::Duration kUnconfirmedTrialInterval = absl::Seconds(5);

/// Fraction of a trial interval over which the daemons' turns are spread.
inline constexpr double kTrialSpread = 0.2;

/// The decision that engines crash on a prompt.
struct quarantine_verdict {
  /// What the prompts of all the crashes have in common, in ascending order:
  /// these crashes don't tell which of the parts is to blame. A prompt is held
  /// back if it has all of them.
  prompt_parts parts;
  /// Hashes of the engines that crashed.
  std::vector<uint32_t> engines;
  absl::Time first_crash;
  absl::Time last_crash;
  /// From when on a request may be sent as a trial.
  absl::Time next_trial;
  /// Time after `next_trial` within which the daemons have their turns.
  absl::Duration trial_spread;
};

/// Returns the verdicts that follow from `evidence`.
/// @param known verdicts that were found before. Reports that arrive late, of
///     crashes on other prompts, don't end them.
std::vector<quarantine_verdict> FindVerdicts(
    const crash_evidence& evidence,
    absl::Span<const quarantine_verdict> known = {});

/// Returns from when on the daemon named `daemon` may send a trial of
/// `verdict`. The daemons' turns differ, so that most hear of a trial before
/// their own.
absl::Time TrialTime(const quarantine_verdict& verdict,
                     absl::string_view daemon);

/// Returns whether `part` is among the parts of `verdict`.
bool NamesPart(const quarantine_verdict& verdict, prompt_part part);

/// Returns whether `verdict` holds back a prompt with `parts`.
bool HoldsBack(const quarantine_verdict& verdict,
               absl::Span<const prompt_part> parts);

/// Returns the first of `verdicts` that holds back a prompt with `parts`.
std::optional<quarantine_verdict> VerdictAgainst(
    absl::Span<const quarantine_verdict> verdicts,
    absl::Span<const prompt_part> parts);

}  // namespace anvilridge

#endif  // ANVILRIDGE_QUARANTINE_QUARANTINE_VERDICT_H_
