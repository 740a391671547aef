#include "upstreams/outlier_ejection.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

using health_entry = std::pair<const std::string, upstream_health>;

constexpr int kMostDoublings = 16;
constexpr double kJitterShare = 0.2;
// Share of picks at the beginning of a return: enough to learn from soon.
constexpr double kFirstShare = 0.1;

call_counts InWindow(const upstream_health& health) {
  return {health.current.calls + health.previous.calls,
          health.current.failures + health.previous.failures,
          health.current.stalls + health.previous.stalls};
}

double FailureShare(const call_counts& counts) {
  return counts.calls == 0 ? 0 : double{1} * counts.failures / counts.calls;
}

void AdvanceWindow(upstream_health& health, absl::Duration window,
                   absl::Time now) {
  const absl::Duration half = window / 2;
  if (now < health.half_began + half) return;
  const bool adjacent = now < health.half_began + window;
  health.previous = adjacent ? health.current : call_counts();
  health.current = call_counts();
  health.half_began = now;
}

void Count(upstream_health& health, call_result result) {
  ++health.current.calls;
  if (result == call_result::ok) {
    health.failures_in_row = 0;
    return;
  }
  ++health.failures_in_row;
  ++health.current.failures;
  if (result == call_result::stalled) ++health.current.stalls;
}

bool IsReturning(const upstream_health& health, const health_settings& settings,
                 absl::Time now) {
  return health.ejected_until <= now &&
         now < health.ejected_until + settings.return_over;
}

// Why an ejection is due after a failure; empty for none.
std::string Reason(const upstream_health& health,
                   const health_settings& settings, absl::Time now) {
  const call_counts counts = InWindow(health);
  const std::string stalls = absl::StrCat(" (", counts.stalls, " stalls)");
  if (IsReturning(health, settings, now)) {
    return absl::StrCat("failed while returning", stalls);
  }
  if (health.failures_in_row >= settings.consecutive_failures) {
    return absl::StrCat(health.failures_in_row, " failures in a row", stalls);
  }
  const bool enough = counts.calls >= settings.least_calls;
  if (enough && 100 * FailureShare(counts) >= settings.failure_percent) {
    return absl::StrCat(counts.failures, " of ", counts.calls, " calls failed",
                        stalls);
  }
  return "";
}

// Earlier ejections are forgotten one by one while it does well.
void ForgetEjections(upstream_health& health, const health_settings& settings,
                     absl::Time now) {
  if (health.ejections == 0) return;
  const absl::Duration well = now - health.ejected_until - settings.return_over;
  const double forgotten = absl::FDivDuration(well, settings.longest_ejection);
  const int whole =
      static_cast<int>(std::clamp<double>(forgotten, 0, health.ejections));
  health.ejections -= whole;
}

void Eject(upstream_health& health, const health_settings& settings,
           absl::Time now, double jitter) {
  ForgetEjections(health, settings, now);
  const int doublings = std::min(health.ejections, kMostDoublings);
  const absl::Duration longest = std::min(
      settings.first_ejection * (1 << doublings), settings.longest_ejection);
  health.ejected_until = now + longest * (1 - kJitterShare * jitter);
  ++health.ejections;
  // What led to it must not eject it again on its return.
  health.failures_in_row = 0;
  health.current = call_counts();
  health.previous = call_counts();
}

bool IsWorse(const health_entry* a, const health_entry* b) {
  return std::tuple(-a->second.severity, a->first) <
         std::tuple(-b->second.severity, b->first);
}

}  // namespace

void ReportCall(health_table& table, absl::string_view upstream,
                call_result result, const health_settings& settings,
                absl::Time now, double jitter) {
  upstream_health& health = table.upstreams[std::string(upstream)];
  AdvanceWindow(health, settings.window, now);
  Count(health, result);
  if (result == call_result::ok || now < health.ejected_until) return;
  const std::string why = Reason(health, settings, now);
  if (why.empty()) return;
  health.severity = FailureShare(InWindow(health));
  health.why = why;
  Eject(health, settings, now, jitter);
}

health_view JudgeHealth(const health_table& table, const health_pools& pools,
                        const health_settings& settings, absl::Time now) {
  health_view view;
  for (const auto& [name, health] : table.upstreams) {
    if (!IsReturning(health, settings, now)) continue;
    const double share =
        absl::FDivDuration(now - health.ejected_until, settings.return_over);
    view[name] = {health_phase::returning, std::max(kFirstShare, share),
                  health.ejected_until + settings.return_over, health.why};
  }
  for (const auto& [pool, members] : pools) {
    std::vector<const health_entry*> due;
    for (const std::string& name : members) {
      const auto found = table.upstreams.find(name);
      if (found == table.upstreams.end()) continue;
      if (now < found->second.ejected_until) due.push_back(&*found);
    }
    std::sort(due.begin(), due.end(), IsWorse);
    const size_t most = members.size() / 2;
    for (size_t i = 0; i < due.size(); ++i) {
      const auto& [name, health] = *due[i];
      const bool out = i < most;
      view[name] = {out ? health_phase::ejected : health_phase::kept,
                    out ? 0.0 : 1.0, health.ejected_until, health.why};
    }
  }
  return view;
}

}  // namespace anvilridge
