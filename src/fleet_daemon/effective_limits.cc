#include "fleet_daemon/effective_limits.h"

#include <algorithm>

namespace anvilridge {

limit_settings EffectiveLimits(const limit_settings& settings,
                               const caller_limits& configured) {
  limit_settings limits = settings;
  limits.max_header_bytes =
      std::min(settings.max_header_bytes,
               configured.max_header_bytes.value_or(settings.max_header_bytes));
  limits.max_body_bytes =
      std::min(settings.max_body_bytes,
               configured.max_body_bytes.value_or(settings.max_body_bytes));
  limits.idle_timeout = configured.idle_timeout.value_or(settings.idle_timeout);
  if (configured.header_timeout) {
    limits.header_timeout = configured.header_timeout;
    limits.request_timeout =
        std::max(settings.request_timeout, *configured.header_timeout);
  }
  return limits;
}

}  // namespace anvilridge
