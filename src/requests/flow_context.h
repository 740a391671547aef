#ifndef ANVILRIDGE_REQUESTS_FLOW_CONTEXT_H_
#define ANVILRIDGE_REQUESTS_FLOW_CONTEXT_H_

#include <QObject>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "requests/request_services.h"
#include "requests/retry_budget.h"
#include "requests/transfer_timing.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// What one traffic thread shares between its flows.
struct flow_context {
  QObject* thread = nullptr;
  http_client* client = nullptr;
  const request_services* services = nullptr;
  retry_budgets retries;
  transfer_timing transfers;
  /// Calls in progress at each plain service from this thread.
  std::map<std::string, int, std::less<>> service_calls;
  std::mt19937_64 random{std::random_device{}()};
};

/// Returns the pause before retry number `retry` of a request of `route`, which
/// it takes from the budget; nothing when that is used up.
std::optional<absl::Duration> TakeRetry(flow_context& context,
                                        absl::string_view route, int retry);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_FLOW_CONTEXT_H_
