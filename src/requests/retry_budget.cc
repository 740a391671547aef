#include "requests/retry_budget.h"

#include <algorithm>

namespace anvilridge {
namespace {

constexpr double kPercent = 100;
constexpr double kJitterShare = 0.5;
constexpr int kMostDoublings = 16;
// Sums of tenths fall short of whole tokens by rounding.
constexpr double kRounding = 1e-6;

double Most(const retry_settings& settings) {
  return settings.percent == 0 ? 0 : settings.burst;
}

}  // namespace

void EarnRetries(retry_budgets& budgets, absl::string_view route,
                 const retry_settings& settings) {
  const auto [it, added] = budgets.routes.try_emplace(std::string(route));
  double& tokens = it->second.tokens;
  if (added) tokens = Most(settings);
  tokens = std::min(Most(settings), tokens + settings.percent / kPercent);
}

std::optional<absl::Duration> TakeRetry(retry_budgets& budgets,
                                        absl::string_view route, int retry,
                                        const retry_settings& settings,
                                        double jitter) {
  const auto it = budgets.routes.find(route);
  if (it == budgets.routes.end() || it->second.tokens + kRounding < 1) {
    return std::nullopt;
  }
  it->second.tokens -= 1;
  const int doublings = std::clamp(retry - 1, 0, kMostDoublings);
  const absl::Duration longest =
      std::min(settings.first_pause * (1 << doublings), settings.longest_pause);
  return longest * (1 - kJitterShare * jitter);
}

}  // namespace anvilridge
