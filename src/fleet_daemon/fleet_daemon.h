#ifndef ANVILRIDGE_FLEET_DAEMON_FLEET_DAEMON_H_
#define ANVILRIDGE_FLEET_DAEMON_FLEET_DAEMON_H_

#include <functional>
#include <variant>
#include <vector>

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

/// Reads the settings again; returns the findings when they can't be used.
using settings_loader =
    std::function<std::variant<fleet_settings, std::vector<settings_error>>()>;

/// Runs a daemon that serves a fleet until SIGTERM or SIGINT, on this thread as
/// the control thread. Reads the settings again at SIGHUP and when they change;
/// budgets and the grace of a stop follow, other changes need a restart. Writes
/// what keeps it from starting to stderr. Returns the exit code: 0 after a
/// planned stop, 1 when it can't start.
int RunFleetDaemon(const fleet_settings& settings,
                   const fleet_platform& platform, const settings_loader& load);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_FLEET_DAEMON_H_
