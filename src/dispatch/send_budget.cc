#include "dispatch/send_budget.h"

#include <algorithm>

namespace anvilridge {
namespace {

// Parts of the slack that all daemons together may save up, and that they earn
// within one window. The rest is a margin for daemons that don't know of each
// other yet.
constexpr double kSavedSlackShare = 0.5;
constexpr double kEarnedSlackShare = 0.25;
// Part of the ratio that requests earn. The rest is a margin for requests and
// sends that arrive late and are counted in another window.
constexpr double kRatioShare = 0.85;

// Returns this daemon's even part of the slack; none while it doesn't know the
// number of daemons.
double SlackPart(const send_budget& budget, const send_budget_limits& limits,
                 absl::Time now) {
  const std::optional<int> daemons = SettledDaemonCount(budget.daemons, now);
  return daemons ? static_cast<double>(limits.slack) / std::max(1, *daemons)
                 : 0;
}

// Returns the credit for `service` at `now`, after adding what time has earned
// and `earned` extra sends.
send_credit& AddCredit(send_budget& budget, absl::string_view service,
                       const send_budget_limits& limits, absl::Time now,
                       double earned) {
  const auto [entry, is_new] = budget.services.try_emplace(
      std::string(service),
      send_credit{.earned_until = std::min(now, budget.daemons.first)});
  send_credit& credit = entry->second;
  const double slack_part = SlackPart(budget, limits, now);
  const double windows =
      absl::FDivDuration(now - credit.earned_until, limits.window);
  credit.earned_until = now;
  // One extra send may always be saved up: with less, none could be made.
  const double most = std::max(1.0, kSavedSlackShare * slack_part);
  credit.available =
      std::min(most, credit.available + earned +
                         kEarnedSlackShare * slack_part * windows);
  return credit;
}

}  // namespace

void RecordRequest(send_budget& budget, absl::string_view service,
                   const send_budget_limits& limits, absl::Time now) {
  ++AddCredit(budget, service, limits, now, kRatioShare * limits.ratio)
        .requests;
}

bool ConsumeExtraSend(send_budget& budget, absl::string_view service,
                      const send_budget_limits& limits, absl::Time now) {
  send_credit& credit = AddCredit(budget, service, limits, now, 0);
  if (credit.available < 1) return false;
  credit.available -= 1;
  ++credit.extra_sends;
  return true;
}

const send_credit& SendCredit(send_budget& budget, absl::string_view service,
                              const send_budget_limits& limits,
                              absl::Time now) {
  return AddCredit(budget, service, limits, now, 0);
}

}  // namespace anvilridge
