#ifndef ANVILRIDGE_FLEET_DAEMON_FLEET_DAEMON_H_
#define ANVILRIDGE_FLEET_DAEMON_FLEET_DAEMON_H_

#include <functional>

#include "dispatch/fleet_speaker.h"
#include "fleet_daemon/fleet_control.h"
#include "fleet_daemon/fleet_settings.h"

namespace anvilridge {

/// What a deployment's platform brings to the daemon.
struct fleet_platform {
  fleet_speaker speaker;
  /// Called on the control thread, once its event loop can be used.
  std::function<fleet_sources(const fleet_settings&)> open_sources;
};

/// Runs a daemon that serves a fleet until SIGTERM or SIGINT, on this thread as
/// the control thread. Writes what keeps it from starting to stderr. Returns
/// the exit code: 0 after a planned stop, 1 when it can't start.
int RunFleetDaemon(const fleet_settings& settings,
                   const fleet_platform& platform);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_FLEET_DAEMON_H_
