#include "requests/flow_context.h"

#include <algorithm>

namespace anvilridge {
namespace {

constexpr double kRetriesPerRequest = 0.1;
constexpr double kMostRetries = 10;

}  // namespace

void EarnRetries(retry_budget& budget) {
  budget.tokens = std::min(kMostRetries, budget.tokens + kRetriesPerRequest);
}

bool TakeRetry(retry_budget& budget) {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

}  // namespace anvilridge
