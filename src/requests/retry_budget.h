#ifndef ANVILRIDGE_REQUESTS_RETRY_BUDGET_H_
#define ANVILRIDGE_REQUESTS_RETRY_BUDGET_H_

#include <map>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// Retries that the requests of one route have earned and not used.
struct retry_budget {
  double tokens = 0;
};

/// The budgets of one traffic thread by route. They limit retries to a share of
/// the requests, so that failing upstreams are not hit by a multiple of the
/// load.
struct retry_budgets {
  std::map<std::string, retry_budget, std::less<>> routes;
};

/// Adds what one new request of `route` earns; a new route begins with a burst.
void EarnRetries(retry_budgets& budgets, absl::string_view route,
                 const retry_settings& settings);

/// Takes retry number `retry`, from 1, of a request of `route`. Returns the
/// pause before it, which doubles with each and is shortened by up to a half by
/// `jitter` from 0 to 1; nothing when the budget is used up.
std::optional<absl::Duration> TakeRetry(retry_budgets& budgets,
                                        absl::string_view route, int retry,
                                        const retry_settings& settings,
                                        double jitter);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_RETRY_BUDGET_H_
