#ifndef ANVILRIDGE_FLEET_DAEMON_FLEET_DAEMON_H_
#define ANVILRIDGE_FLEET_DAEMON_FLEET_DAEMON_H_

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/fleet_protocol.h"
#include "fleet_daemon/fleet_control.h"
#include "fleet_daemon/fleet_settings.h"

namespace anvilridge {

/// The parts of the daemon that depend on the deployment's platform.
struct fleet_platform {
  /// Translates requests and responses to and from the platform's wire format.
  fleet_protocol protocol;
  /// Header field with the id of a caller's request, in lower case.
  std::string request_id_field;
  /// Connects to the store that the settings name. Called once, on the control
  /// thread, after the Qt application was created.
  std::function<fleet_sources(const fleet_settings&)> open_sources;
};

/// Reads the settings file again. Returns the settings, or all errors in them.
using settings_loader =
    std::function<std::variant<fleet_settings, std::vector<settings_error>>()>;

/// Runs a daemon that serves a fleet until SIGTERM or SIGINT. The calling
/// thread becomes the control thread. The settings are reloaded on SIGHUP and
/// when they change; budgets and `stop_grace` apply at once, other changes need
/// a restart.
/// @return the exit code: 0 after a planned stop; 1 if the daemon can't start,
///     with the reason on stderr.
int RunFleetDaemon(const fleet_settings& settings,
                   const fleet_platform& platform, const settings_loader& load);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_FLEET_DAEMON_H_
