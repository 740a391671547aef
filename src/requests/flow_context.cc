#include "requests/flow_context.h"

namespace anvilridge {

std::optional<absl::Duration> TakeRetry(flow_context& context,
                                        absl::string_view route, int retry) {
  const double jitter =
      std::uniform_real_distribution<double>(0, 1)(context.random);
  return TakeRetry(context.retries, route, retry, context.services->retries,
                   jitter);
}

}  // namespace anvilridge
