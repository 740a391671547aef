#include "daemon/command_line.h"

#include <cstdio>
#include <cxxopts.hpp>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "daemon/daemon.h"
#include "settings/parse_settings.h"
#include "settings/settings_reference.h"

namespace anvilridge {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitWrongSettings = 2;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("anvilridged",
                           "Router for language model fleets split into "
                           "prefill and decode pools");
  options.custom_help("--config FILE [--check-config]");
  options.add_options()                                                   //
      ("config", "Settings file", cxxopts::value<std::string>(), "FILE")  //
      ("check-config", "Check the settings file and exit")                //
      ("settings-reference", "Print all settings as Markdown")            //
      ("version", "Print the version")                                    //
      ("help", "Print this help");
  return options;
}

void PrintError(const std::string& message) {
  std::fprintf(stderr, "anvilridged: %s\n", message.c_str());
}

int RunWithSettings(const command_line& command) {
  const auto loaded = LoadSettings(command.config_file);
  if (const auto* findings =
          std::get_if<std::vector<settings_error>>(&loaded)) {
    for (const settings_error& finding : *findings) {
      std::fprintf(stderr, "%s\n", SettingsErrorText(finding).c_str());
    }
    return kExitWrongSettings;
  }
  if (command.action == command_action::check_config) return kExitOk;
  return RunDaemon(std::get<daemon_settings>(loaded));
}

}  // namespace

absl::StatusOr<command_line> ParseCommandLine(int count,
                                              const char* const* arguments) {
  command_line command;
  try {
    cxxopts::Options options = MakeOptions();
    const cxxopts::ParseResult parsed = options.parse(count, arguments);
    if (!parsed.unmatched().empty()) {
      return MakeError(
          error_kind::malformed_command,
          absl::StrCat("unexpected argument ", parsed.unmatched().front()));
    }
    if (parsed.count("config") > 1) {
      return MakeError(error_kind::malformed_command,
                       "--config is given more than once");
    }
    if (parsed.count("config") == 1) {
      command.config_file = parsed["config"].as<std::string>();
    }
    if (parsed.count("help") > 0) {
      command.action = command_action::print_help;
    } else if (parsed.count("version") > 0) {
      command.action = command_action::print_version;
    } else if (parsed.count("settings-reference") > 0) {
      command.action = command_action::print_settings_reference;
    } else if (command.config_file.empty()) {
      return MakeError(error_kind::malformed_command,
                       "--config FILE is required; see --help");
    } else if (parsed.count("check-config") > 0) {
      command.action = command_action::check_config;
    }
  } catch (const cxxopts::exceptions::exception& error) {
    return MakeError(error_kind::malformed_command, error.what());
  }
  return command;
}

std::string CommandLineHelp() { return MakeOptions().help(); }

int RunCommandLine(int count, const char* const* arguments) {
  const auto command = ParseCommandLine(count, arguments);
  if (!command.ok()) {
    PrintError(std::string(command.status().message()));
    return kExitWrongSettings;
  }
  switch (command->action) {
    case command_action::print_help:
      std::fputs(CommandLineHelp().c_str(), stdout);
      return kExitOk;
    case command_action::print_version:
      std::puts("anvilridged " ANVIL_VERSION);
      return kExitOk;
    case command_action::print_settings_reference:
      std::fputs(SettingsReference().c_str(), stdout);
      return kExitOk;
    case command_action::run:
    case command_action::check_config:
      break;
  }
  return RunWithSettings(*command);
}

}  // namespace anvilridge
