#include "quarantine/quarantine_verdict.h"

#include <algorithm>
#include <map>
#include <utility>

namespace anvilridge {
namespace {

using crashes_by_part = std::map<prompt_part, std::vector<counted_crash>>;

bool HasPart(absl::Span<const prompt_part> parts, prompt_part part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

// Returns whether all engines of `crashes` are among those of `others`.
bool IsSubset(absl::Span<const counted_crash> crashes,
              absl::Span<const counted_crash> others) {
  return std::includes(others.begin(), others.end(), crashes.begin(),
                       crashes.end(),
                       [](const counted_crash& a, const counted_crash& b) {
                         return a.engine < b.engine;
                       });
}

absl::Duration TrialInterval(size_t crashes) {
  absl::Duration interval = kMinTrialInterval;
  for (size_t i = kCrashesForQuarantine;
       i < crashes && interval < kMaxTrialInterval; ++i) {
    interval *= 2;
  }
  return std::min(interval, kMaxTrialInterval);
}

quarantine_verdict MakeVerdict(const crash_evidence& evidence, prompt_part part,
                               absl::Span<const counted_crash> crashes) {
  quarantine_verdict verdict;
  verdict.part = part;
  verdict.first_crash = absl::InfiniteFuture();
  verdict.last_crash = absl::InfinitePast();
  for (const counted_crash& crash : crashes) {
    verdict.engines.push_back(crash.engine);
    verdict.first_crash = std::min(verdict.first_crash, crash.time);
    verdict.last_crash = std::max(verdict.last_crash, crash.time);
  }
  const bool is_confirmed = evidence.last_success > verdict.first_crash;
  verdict.next_trial =
      (is_confirmed ? TrialInterval(crashes.size())
                    : kUnconfirmedTrialInterval) +
      std::max(verdict.last_crash, evidence.parts.at(part).last_trial);
  return verdict;
}

}  // namespace

std::vector<quarantine_verdict> FindVerdicts(const crash_evidence& evidence) {
  std::vector<quarantine_verdict> verdicts;
  if (evidence.reports.size() < kCrashesForQuarantine) return verdicts;
  crashes_by_part blamed;
  for (const auto& [part, record] : evidence.parts) {
    std::vector<counted_crash> crashes = CrashesAgainst(evidence, part);
    if (crashes.size() >= kCrashesForQuarantine) {
      blamed.emplace(part, std::move(crashes));
    }
  }
  for (const auto& [part, crashes] : blamed) {
    quarantine_verdict verdict = MakeVerdict(evidence, part, crashes);
    if (verdict.last_crash - verdict.first_crash < kMinCrashSpread) continue;
    for (const auto& [other, others_crashes] : blamed) {
      if (other != part && IsSubset(crashes, others_crashes)) {
        verdict.companions.push_back(other);
      }
    }
    verdicts.push_back(std::move(verdict));
  }
  return verdicts;
}

std::optional<quarantine_verdict> VerdictAgainst(
    absl::Span<const quarantine_verdict> verdicts,
    absl::Span<const prompt_part> parts) {
  for (const quarantine_verdict& verdict : verdicts) {
    if (!HasPart(parts, verdict.part)) continue;
    if (std::all_of(verdict.companions.begin(), verdict.companions.end(),
                    [parts](prompt_part companion) {
                      return HasPart(parts, companion);
                    })) {
      return verdict;
    }
  }
  return std::nullopt;
}

}  // namespace anvilridge
