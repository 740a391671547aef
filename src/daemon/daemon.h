#ifndef ANVILRIDGE_DAEMON_DAEMON_H_
#define ANVILRIDGE_DAEMON_DAEMON_H_

#include "settings/daemon_settings.h"

namespace anvilridge {

/// Runs the entry daemon until SIGTERM or SIGINT, on this thread as the control
/// thread. Writes what keeps it from starting to stderr. Returns the exit code:
/// 0 after a graceful stop, 1 when it can't start.
int RunDaemon(const daemon_settings& settings);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_DAEMON_H_
