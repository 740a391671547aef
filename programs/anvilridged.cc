#include "daemon/command_line.h"

/// Entry daemon.
int main(int count, char** arguments) {
  return anvilridge::RunCommandLine(count, arguments);
}
