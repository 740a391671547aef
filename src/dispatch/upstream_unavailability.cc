#include "dispatch/upstream_unavailability.h"

#include <algorithm>

namespace anvilridge {
namespace {

// Bounds of the pause after a refusal. An upstream whose queue is full has
// capacity again after the time of a few requests; one that changes its stage
// is away for seconds.
constexpr absl::Duration kFirstRefusalPause = absl::Milliseconds(50);
constexpr absl::Duration kLongestRefusalPause = absl::Milliseconds(1500);
constexpr int kMaxPauseDoublings = 5;
// Pause after a misdirected request. A daemon is informed of a new instance
// within seconds unless the store refuses to serve it; such a daemon tries the
// upstream again at this interval.
constexpr absl::Duration kMisdirectedPause = absl::Seconds(5);
// Pause after a failed connection: a crashed upstream is away for seconds, one
// that is flooded with connections for less.
constexpr absl::Duration kUnreachablePause = absl::Milliseconds(500);
// Time for which a failed connection is announced to the other daemons, and for
// which their reports of one count. It is long enough for several load
// messages, since each of them may be lost.
constexpr absl::Duration kPeerReportLifetime = absl::Seconds(1);
// Number of other daemons that must report an upstream as unreachable: a single
// one may be cut off itself.
constexpr int kMinPeerReports = 2;

bool IsReportedUnreachable(const upstream_unavailability& entry,
                           absl::Time now) {
  if (now - entry.last_response < kPeerReportLifetime) return false;
  const auto recent =
      std::count_if(entry.peer_reports.begin(), entry.peer_reports.end(),
                    [now](const auto& report) {
                      return now - report.second < kPeerReportLifetime;
                    });
  return recent >= kMinPeerReports;
}

}  // namespace

void RecordRefusal(unavailability_table& table, uint32_t upstream,
                   absl::Time now) {
  upstream_unavailability& entry = table[upstream];
  // Refusals of requests that were in flight when the pause began don't extend
  // it.
  if (now < entry.backoff_until) return;
  const int doublings =
      std::min(entry.consecutive_refusals++, kMaxPauseDoublings);
  entry.backoff_until = now + std::min(kFirstRefusalPause * (1 << doublings),
                                       kLongestRefusalPause);
}

void RecordMisdirected(unavailability_table& table, uint32_t upstream,
                       engine_stage stage, absl::Time now) {
  upstream_unavailability& entry = table[upstream];
  entry.misdirected_stage = stage;
  entry.misdirected_until = now + kMisdirectedPause;
}

void RecordConnectFailure(unavailability_table& table, uint32_t upstream,
                          absl::Time now) {
  table[upstream].last_connect_failure = now;
}

void RecordResponse(unavailability_table& table, uint32_t upstream,
                    absl::Time now) {
  upstream_unavailability& entry = table[upstream];
  entry.last_response = now;
  entry.last_connect_failure = absl::InfinitePast();
}

void RecordPeerReport(unavailability_table& table, uint32_t upstream,
                      absl::string_view peer, absl::Time now) {
  std::map<std::string, absl::Time, std::less<>>& reports =
      table[upstream].peer_reports;
  std::erase_if(reports, [now](const auto& report) {
    return now - report.second >= kPeerReportLifetime;
  });
  reports[std::string(peer)] = now;
}

std::vector<uint32_t> UnreachableUpstreams(const unavailability_table& table,
                                           absl::Time now) {
  std::vector<uint32_t> unreachable;
  for (const auto& [upstream, entry] : table) {
    if (now - entry.last_connect_failure < kPeerReportLifetime) {
      unreachable.push_back(upstream);
    }
  }
  return unreachable;
}

void RecordAccepted(unavailability_table& table, uint32_t upstream) {
  const auto found = table.find(upstream);
  if (found == table.end()) return;
  found->second.consecutive_refusals = 0;
  found->second.backoff_until = absl::InfinitePast();
}

void RecordLeavingStage(unavailability_table& table, uint32_t upstream,
                        engine_stage stage, absl::Time until) {
  upstream_unavailability& entry = table[upstream];
  entry.leaving = stage;
  entry.leaving_until = until;
}

bool IsUpstreamUnavailable(const unavailability_table& table, uint32_t upstream,
                           engine_stage stage, absl::Time now) {
  const auto found = table.find(upstream);
  if (found == table.end()) return false;
  const upstream_unavailability& entry = found->second;
  if (now < entry.backoff_until) return true;
  if (now - entry.last_connect_failure < kUnreachablePause) return true;
  if (IsReportedUnreachable(entry, now)) return true;
  if (now < entry.misdirected_until && entry.misdirected_stage == stage) {
    return true;
  }
  return entry.leaving != engine_stage::none && entry.leaving == stage &&
         now < entry.leaving_until;
}

}  // namespace anvilridge
