#ifndef ANVILRIDGE_FLEET_DAEMON_EFFECTIVE_LIMITS_H_
#define ANVILRIDGE_FLEET_DAEMON_EFFECTIVE_LIMITS_H_

#include "fleet/fleet_config.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// Returns the limits of the caller port under a configuration. Its times
/// replace those of `settings`; its sizes may only be lower, since `settings`
/// bound the memory.
limit_settings EffectiveLimits(const limit_settings& settings,
                               const caller_limits& configured);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_EFFECTIVE_LIMITS_H_
