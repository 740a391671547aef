#include <cstdlib>

#include "fleet_daemon/fleet_program.h"
#include "platform/fleet_platform.h"

/// Daemon of a fleet on the platform.
int main(int count, char** arguments) {
  const anvilridge::fleet_platform platform =
      anvilridge::platform::MakeFleetPlatform();
  const int status = anvilridge::RunFleetProgram(count, arguments, platform);
  // All is closed and logged. The libraries' own threads may be waited for
  // without end when static objects are destroyed.
  std::_Exit(status);
}
