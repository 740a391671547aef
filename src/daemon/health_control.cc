#include "daemon/health_control.h"

#include <memory>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

const char* NameOf(health_phase phase) {
  switch (phase) {
    case health_phase::ejected:
      return "ejected";
    case health_phase::kept:
      return "kept";
    case health_phase::returning:
      return "returning";
  }
  return "";
}

void LogBegin(const std::string& name, const health_standing& standing) {
  LogEvent(log_level::warn, "upstream_health",
           {{"upstream", QString::fromStdString(name)},
            {"result", NameOf(standing.phase)},
            {"why", QString::fromStdString(standing.why)},
            {"for_ms",
             absl::ToDoubleMilliseconds(standing.until - MonotonicNow())}});
}

void LogChanges(const health_view& before, const health_view& after) {
  for (const auto& [name, standing] : after) {
    const auto it = before.find(name);
    const bool same = it != before.end() && it->second.phase == standing.phase;
    if (!same) LogBegin(name, standing);
  }
  for (const auto& [name, standing] : before) {
    if (after.contains(name)) continue;
    LogEvent(log_level::info, "upstream_health",
             {{"upstream", QString::fromStdString(name)}, {"result", "back"}});
  }
}

double Jitter() {
  static thread_local std::mt19937_64 random{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace

void ReportUpstream(control_state& state, absl::string_view upstream,
                    call_result result) {
  const absl::Time now = MonotonicNow();
  ReportCall(state.health, upstream, result, state.settings.health, now,
             Jitter());
  const auto it = state.health.upstreams.find(upstream);
  const bool due = it->second.ejected_until > now;
  if (due && result != call_result::ok) PublishHealth(state);
}

void PublishHealth(control_state& state) {
  const auto config = state.config.InForce();
  if (!config) return;
  ForgetRemoved(state.health, *config);
  const std::shared_ptr<const name_set> leaving = state.leaving.Get();
  health_view view =
      JudgeHealth(state.health, *config, leaving ? *leaving : name_set(),
                  state.settings.health, MonotonicNow());
  const std::shared_ptr<const health_view> before = state.standings.Get();
  LogChanges(before ? *before : health_view(), view);
  name_set ejected;
  for (const auto& [name, standing] : view) {
    if (standing.phase == health_phase::ejected) ejected.insert(name);
  }
  state.ejected.Set(std::make_shared<const name_set>(std::move(ejected)));
  state.standings.Set(std::make_shared<const health_view>(std::move(view)));
}

std::string HealthText(const health_standing& standing, absl::Time now) {
  if (standing.phase == health_phase::returning) {
    constexpr int kPercent = 100;
    const int percent = static_cast<int>(kPercent * standing.share);
    return absl::StrCat("returning ", percent, "%");
  }
  const int64_t left = absl::ToInt64Milliseconds(standing.until - now);
  return absl::StrCat(NameOf(standing.phase), " for ", left, "ms");
}

}  // namespace anvilridge
