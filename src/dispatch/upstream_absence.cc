#include "dispatch/upstream_absence.h"

#include <algorithm>

namespace anvilridge {
namespace {

// An upstream whose queue is full has room again within some requests' time;
// one that changes its stage is away for seconds.
constexpr absl::Duration kFirstPause = absl::Milliseconds(50);
constexpr absl::Duration kLongestPause = absl::Milliseconds(1500);
constexpr int kMostDoublings = 5;
// A daemon learns of a new instance within seconds, but for one that the store
// turns away: that one looks again at this interval.
constexpr absl::Duration kMisdirectedPause = absl::Seconds(5);
// How long an upstream gets nothing after a connection failed: a crashed one is
// away for seconds, one that is flooded with connections for less.
constexpr absl::Duration kUnreachablePause = absl::Milliseconds(500);
// How long such a failure is told to the others and believed by them: some
// messages, since each of them may be lost.
constexpr absl::Duration kReportLife = absl::Seconds(1);
// Other daemons that must tell of it: one alone may be cut off itself.
constexpr int kLeastReports = 2;

bool IsReportedUnreachable(const upstream_absence& absence, absl::Time now) {
  if (now - absence.reached < kReportLife) return false;
  const auto fresh = std::count_if(
      absence.reports.begin(), absence.reports.end(),
      [now](const auto& report) { return now - report.second < kReportLife; });
  return fresh >= kLeastReports;
}

}  // namespace

void NoteRefusal(absence_table& table, uint32_t upstream, absl::Time now) {
  upstream_absence& absence = table[upstream];
  // Answers to sends that were under way when the pause began say nothing new.
  if (now < absence.refused_until) return;
  const int doublings = std::min(absence.refusals++, kMostDoublings);
  absence.refused_until =
      now + std::min(kFirstPause * (1 << doublings), kLongestPause);
}

void NoteMisdirected(absence_table& table, uint32_t upstream,
                     engine_stage stage, absl::Time now) {
  upstream_absence& absence = table[upstream];
  absence.misdirected_stage = stage;
  absence.misdirected_until = now + kMisdirectedPause;
}

void NoteUnreachable(absence_table& table, uint32_t upstream, absl::Time now) {
  table[upstream].unreachable = now;
}

void NoteReached(absence_table& table, uint32_t upstream, absl::Time now) {
  upstream_absence& absence = table[upstream];
  absence.reached = now;
  absence.unreachable = absl::InfinitePast();
}

void NoteReport(absence_table& table, uint32_t upstream, absl::string_view peer,
                absl::Time now) {
  std::map<std::string, absl::Time, std::less<>>& reports =
      table[upstream].reports;
  std::erase_if(reports, [now](const auto& report) {
    return now - report.second >= kReportLife;
  });
  reports[std::string(peer)] = now;
}

std::vector<uint32_t> UnreachableUpstreams(const absence_table& table,
                                           absl::Time now) {
  std::vector<uint32_t> unreachable;
  for (const auto& [upstream, absence] : table) {
    if (now - absence.unreachable < kReportLife) {
      unreachable.push_back(upstream);
    }
  }
  return unreachable;
}

void NoteAccepted(absence_table& table, uint32_t upstream) {
  const auto found = table.find(upstream);
  if (found == table.end()) return;
  found->second.refusals = 0;
  found->second.refused_until = absl::InfinitePast();
}

void NoteLeavingStage(absence_table& table, uint32_t upstream,
                      engine_stage stage, absl::Time until) {
  upstream_absence& absence = table[upstream];
  absence.leaving = stage;
  absence.leaving_until = until;
}

bool IsAbsent(const absence_table& table, uint32_t upstream, engine_stage stage,
              absl::Time now) {
  const auto found = table.find(upstream);
  if (found == table.end()) return false;
  const upstream_absence& absence = found->second;
  if (now < absence.refused_until) return true;
  if (now - absence.unreachable < kUnreachablePause) return true;
  if (IsReportedUnreachable(absence, now)) return true;
  if (now < absence.misdirected_until && absence.misdirected_stage == stage) {
    return true;
  }
  return absence.leaving != engine_stage::none && absence.leaving == stage &&
         now < absence.leaving_until;
}

}  // namespace anvilridge
