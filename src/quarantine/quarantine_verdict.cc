#include "quarantine/quarantine_verdict.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace anvilridge {
namespace {

using crashes_by_part = std::map<prompt_part, std::vector<counted_crash>>;

// Returns whether `crash` is among `crashes`.
bool Contains(absl::Span<const counted_crash> crashes,
              const counted_crash& crash) {
  return std::any_of(crashes.begin(), crashes.end(),
                     [&crash](const counted_crash& other) {
                       return IsSameCrash(crash, other);
                     });
}

// Returns whether all of `crashes` are among `others`.
bool IsSubset(absl::Span<const counted_crash> crashes,
              absl::Span<const counted_crash> others) {
  return std::all_of(
      crashes.begin(), crashes.end(),
      [others](const counted_crash& crash) { return Contains(others, crash); });
}

// Returns the crashes, each once, that count against none of the parts in
// `blamed`.
std::vector<counted_crash> UnexplainedCrashes(const crash_evidence& evidence,
                                              const crashes_by_part& blamed) {
  std::vector<counted_crash> unexplained;
  for (const crash_report& report : evidence.reports) {
    const counted_crash crash = {report.engine, report.time};
    const bool is_explained = std::any_of(
        blamed.begin(), blamed.end(),
        [&crash](const auto& entry) { return Contains(entry.second, crash); });
    if (!is_explained && !Contains(unexplained, crash)) {
      unexplained.push_back(crash);
    }
  }
  return unexplained;
}

// Returns whether `crashes` on a part are too many to be by chance. What comes
// after they were enough doesn't change that.
bool AreConclusive(absl::Span<const counted_crash> crashes,
                   absl::Span<const counted_crash> unexplained) {
  std::vector<absl::Time> times;
  for (const counted_crash& crash : crashes) times.push_back(crash.time);
  std::sort(times.begin(), times.end());
  for (size_t count = kCrashesForQuarantine; count <= times.size(); ++count) {
    const absl::Time last = times[count - 1];
    if (last - times.front() < kMinCrashSpread) continue;
    const auto others =
        std::count_if(unexplained.begin(), unexplained.end(),
                      [&times, last](const counted_crash& crash) {
                        return crash.time >= times.front() - kRecentCrashes &&
                               crash.time <= last;
                      });
    if (count >= kCrashesForQuarantine + std::min(static_cast<size_t>(others),
                                                  kMaxFurtherCrashes)) {
      return true;
    }
  }
  return false;
}

absl::Duration TrialInterval(size_t crashes) {
  absl::Duration interval = kMinTrialInterval;
  for (size_t i = kCrashesForQuarantine;
       i < crashes && interval < kMaxTrialInterval; ++i) {
    interval *= 2;
  }
  return std::min(interval, kMaxTrialInterval);
}

// Returns the parts that `crashes` have in common.
prompt_parts CommonParts(const crashes_by_part& blamed,
                         absl::Span<const counted_crash> crashes) {
  prompt_parts parts;
  for (const auto& [part, others] : blamed) {
    if (IsSubset(crashes, others)) parts.push_back(part);
  }
  return parts;
}

quarantine_verdict MakeVerdict(const crash_evidence& evidence,
                               prompt_parts parts,
                               absl::Span<const counted_crash> crashes) {
  quarantine_verdict verdict;
  verdict.parts = std::move(parts);
  verdict.first_crash = absl::InfiniteFuture();
  verdict.last_crash = absl::InfinitePast();
  for (const counted_crash& crash : crashes) {
    verdict.engines.push_back(crash.engine);
    verdict.first_crash = std::min(verdict.first_crash, crash.time);
    verdict.last_crash = std::max(verdict.last_crash, crash.time);
  }
  absl::Time last_trial = verdict.last_crash;
  for (const prompt_part part : verdict.parts) {
    last_trial = std::max(last_trial, evidence.parts.at(part).last_trial);
  }
  const bool is_confirmed = evidence.last_success > verdict.first_crash;
  const absl::Duration interval =
      is_confirmed ? TrialInterval(crashes.size()) : kUnconfirmedTrialInterval;
  verdict.next_trial = last_trial + interval;
  verdict.trial_spread = interval * kTrialSpread;
  return verdict;
}

bool IsNamed(absl::Span<const quarantine_verdict> verdicts, prompt_part part) {
  return std::any_of(verdicts.begin(), verdicts.end(),
                     [part](const quarantine_verdict& verdict) {
                       return NamesPart(verdict, part);
                     });
}

bool IsKnown(absl::Span<const quarantine_verdict> verdicts,
             const prompt_parts& parts) {
  return std::any_of(verdicts.begin(), verdicts.end(),
                     [&parts](const quarantine_verdict& verdict) {
                       return verdict.parts == parts;
                     });
}

}  // namespace

std::vector<quarantine_verdict> FindVerdicts(
    const crash_evidence& evidence,
    absl::Span<const quarantine_verdict> known) {
  std::vector<quarantine_verdict> verdicts;
  if (evidence.reports.size() < kCrashesForQuarantine) return verdicts;
  crashes_by_part blamed;
  for (const auto& [part, record] : evidence.parts) {
    std::vector<counted_crash> crashes = CrashesAgainst(evidence, part);
    if (crashes.size() >= kCrashesForQuarantine) {
      blamed.emplace(part, std::move(crashes));
    }
  }
  const std::vector<counted_crash> unexplained =
      UnexplainedCrashes(evidence, blamed);
  for (const auto& [part, crashes] : blamed) {
    if (!IsNamed(known, part) && !AreConclusive(crashes, unexplained)) continue;
    prompt_parts parts = CommonParts(blamed, crashes);
    if (IsKnown(verdicts, parts)) continue;
    verdicts.push_back(MakeVerdict(evidence, std::move(parts), crashes));
  }
  return verdicts;
}

absl::Time TrialTime(const quarantine_verdict& verdict,
                     absl::string_view daemon) {
  // The order of the daemons changes with each crash.
  const uint32_t turn =
      XXH32(daemon.data(), daemon.size(),
            static_cast<XXH32_hash_t>(verdict.engines.size()));
  return verdict.next_trial +
         verdict.trial_spread *
             (static_cast<double>(turn) / std::numeric_limits<uint32_t>::max());
}

bool NamesPart(const quarantine_verdict& verdict, prompt_part part) {
  return std::find(verdict.parts.begin(), verdict.parts.end(), part) !=
         verdict.parts.end();
}

bool HoldsBack(const quarantine_verdict& verdict,
               absl::Span<const prompt_part> parts) {
  return std::all_of(
      verdict.parts.begin(), verdict.parts.end(), [parts](prompt_part part) {
        return std::find(parts.begin(), parts.end(), part) != parts.end();
      });
}

std::optional<quarantine_verdict> VerdictAgainst(
    absl::Span<const quarantine_verdict> verdicts,
    absl::Span<const prompt_part> parts) {
  const auto found = std::find_if(verdicts.begin(), verdicts.end(),
                                  [parts](const quarantine_verdict& verdict) {
                                    return HoldsBack(verdict, parts);
                                  });
  if (found == verdicts.end()) return std::nullopt;
  return *found;
}

}  // namespace anvilridge
