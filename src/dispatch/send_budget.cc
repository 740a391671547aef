#include "dispatch/send_budget.h"

#include <algorithm>

#include "absl/random/random.h"

namespace anvilridge {
namespace {

// Parts of the slack that all daemons together may save up, and that they earn
// within one window. The rest is a margin for daemons that have not found each
// other yet.
constexpr double kSavedSlackShare = 0.5;
constexpr double kEarnedSlackShare = 0.25;
// Part of the ratio that requests earn. The rest is a margin for requests and
// sends that arrive late and are counted in another window.
constexpr double kRatioShare = 0.85;
// Part of what a daemon may save up that is kept for replacements.
constexpr double kReplacementShare = 0.5;

// Returns this daemon's even part of the slack; none while it doesn't know the
// number of daemons.
double SlackPart(const send_budget& budget, const send_budget_limits& limits,
                 absl::Time now) {
  const std::optional<int> daemons = SettledDaemonCount(budget.daemons, now);
  return daemons ? static_cast<double>(limits.slack) / std::max(1, *daemons)
                 : 0;
}

double EarnedByRequest(const send_budget_limits& limits) {
  return kRatioShare * limits.ratio;
}

// Returns the extra sends that this daemon may save up: a part of the slack,
// and at least what one request earns.
double MaxSaved(const send_budget& budget, const send_budget_limits& limits,
                absl::Time now) {
  return std::max(EarnedByRequest(limits),
                  kSavedSlackShare * SlackPart(budget, limits, now));
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
  const double windows =
      absl::FDivDuration(now - credit.earned_until, limits.window);
  credit.earned_until = now;
  earned += kEarnedSlackShare * SlackPart(budget, limits, now) * windows;
  credit.available =
      std::min(credit.available + earned, MaxSaved(budget, limits, now));
  return credit;
}

}  // namespace

void RecordRequest(send_budget& budget, absl::string_view service,
                   const send_budget_limits& limits, absl::Time now) {
  ++AddCredit(budget, service, limits, now, EarnedByRequest(limits)).requests;
}

bool ConsumeExtraSend(send_budget& budget, absl::string_view service,
                      const send_budget_limits& limits, absl::BitGenRef random,
                      absl::Time now, extra_send_need need) {
  send_credit& credit = AddCredit(budget, service, limits, now, 0);
  // Consumed even if chance is against the send: else a request could draw
  // again and again.
  const double max_saved = MaxSaved(budget, limits, now);
  const double share = max_saved < 1 ? credit.available : 1;
  const double kept = need == extra_send_need::alternative
                          ? kReplacementShare * (max_saved - share)
                          : 0;
  if (credit.available < share + kept) return false;
  credit.available -= share;
  if (absl::Uniform(random, 0.0, 1.0) >= share) return false;
  ++credit.extra_sends;
  return true;
}

const send_credit& SendCredit(send_budget& budget, absl::string_view service,
                              const send_budget_limits& limits,
                              absl::Time now) {
  return AddCredit(budget, service, limits, now, 0);
}

}  // namespace anvilridge
