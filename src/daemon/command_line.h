#ifndef ANVILRIDGE_DAEMON_COMMAND_LINE_H_
#define ANVILRIDGE_DAEMON_COMMAND_LINE_H_

#include <string>

#include "absl/status/statusor.h"

namespace anvilridge {

/// What the command line of `anvilridged` asks for.
enum class command_action {
  run,
  check_config,
  print_version,
  print_help,
  print_settings_reference,
};

/// The command line of `anvilridged`.
struct command_line {
  command_action action = command_action::run;
  /// Settings file; set for `run` and `check_config`.
  std::string config_file;
};

/// Parses the arguments of `main`. Fails with `malformed_command` and what is
/// wrong, for one line.
absl::StatusOr<command_line> ParseCommandLine(int count,
                                              const char* const* arguments);

/// Returns the text of `--help`.
std::string CommandLineHelp();

/// Does what the command line asks for and returns the exit code: 0 when all
/// is well, 1 when the daemon can't start, 2 when the command line or the
/// settings are wrong. Writes each error to stderr as one line.
int RunCommandLine(int count, const char* const* arguments);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_COMMAND_LINE_H_
