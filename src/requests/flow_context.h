#ifndef ANVILRIDGE_REQUESTS_FLOW_CONTEXT_H_
#define ANVILRIDGE_REQUESTS_FLOW_CONTEXT_H_

#include <QObject>
#include <map>
#include <random>
#include <string>

#include "requests/request_services.h"
#include "requests/transfer_timing.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Limits retries to a share of the requests, so that a failing upstream is not
/// hit by a multiple of the load.
struct retry_budget {
  /// Retries that may be made now.
  double tokens = 10;
};

/// What one traffic thread shares between its flows.
struct flow_context {
  QObject* thread = nullptr;
  http_client* client = nullptr;
  const request_services* services = nullptr;
  retry_budget retries;
  transfer_timing transfers;
  /// Calls in progress at each plain service from this thread.
  std::map<std::string, int, std::less<>> service_calls;
  std::mt19937_64 random{std::random_device{}()};
};

/// Adds what one new request earns to the budget.
void EarnRetries(retry_budget& budget);

/// Takes one retry; false when the budget is used up.
bool TakeRetry(retry_budget& budget);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_FLOW_CONTEXT_H_
