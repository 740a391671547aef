#ifndef ANVILRIDGE_FLEET_DAEMON_FLEET_PROGRAM_H_
#define ANVILRIDGE_FLEET_DAEMON_FLEET_PROGRAM_H_

#include "fleet_daemon/fleet_daemon.h"

namespace anvilridge {

/// Parses the command line of `anvilridge_fleet` and runs the daemon. Writes
/// errors to stderr.
/// @return the exit code: that of `RunFleetDaemon`; 0 after `--help`, or after
///     `--check` of valid settings; 1 for invalid settings; 2 for an invalid
///     command line.
int RunFleetProgram(int count, char** arguments,
                    const fleet_platform& platform);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_FLEET_PROGRAM_H_
