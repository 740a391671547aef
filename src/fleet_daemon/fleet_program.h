#ifndef ANVILRIDGE_FLEET_DAEMON_FLEET_PROGRAM_H_
#define ANVILRIDGE_FLEET_DAEMON_FLEET_PROGRAM_H_

#include "fleet_daemon/fleet_daemon.h"

namespace anvilridge {

/// Runs a daemon as its command line says; writes what keeps it from starting
/// to stderr.
/// @return the exit code: that of `RunFleetDaemon`, 1 for settings that can't
///     be used, 2 for a wrong command line.
int RunFleetProgram(int count, char** arguments,
                    const fleet_platform& platform);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_FLEET_PROGRAM_H_
