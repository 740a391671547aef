#include "fleet_daemon/fleet_program.h"

#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "settings/settings_values.h"

namespace anvilridge {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

std::variant<fleet_settings, std::vector<settings_error>> LoadFleetSettings(
    const std::string& file) {
  std::ifstream stream(file);
  std::stringstream text;
  text << stream.rdbuf();
  if (!stream) {
    return std::vector<settings_error>{
        {file, 0, "", "", "", "cannot read the settings file"}};
  }
  return ParseFleetSettings(text.str(), file);
}

}  // namespace

int RunFleetProgram(int count, char** arguments,
                    const fleet_platform& platform) {
  cxxopts::Options options("anvilridge_fleet",
                           "Routes the requests of a model fleet");
  options.add_options()("config", "settings file",
                        cxxopts::value<std::string>())(
      "check", "check the settings file and exit")("help", "show this text");
  std::string file;
  bool check_only = false;
  try {
    const auto parsed = options.parse(count, arguments);
    if (parsed.count("help") > 0) {
      // The process ends without flushing its streams.
      std::cout << options.help() << std::flush;
      return 0;
    }
    check_only = parsed.count("check") > 0;
    file = parsed["config"].as<std::string>();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "anvilridge_fleet: %s\n%s", error.what(),
                 options.help().c_str());
    return kExitUsage;
  }
  const auto loaded = LoadFleetSettings(file);
  if (const auto* errors = std::get_if<std::vector<settings_error>>(&loaded)) {
    for (const settings_error& error : *errors) {
      std::fprintf(stderr, "%s\n", SettingsErrorText(error).c_str());
    }
    return kExitFailed;
  }
  if (check_only) return 0;
  return RunFleetDaemon(std::get<fleet_settings>(loaded), platform,
                        [file] { return LoadFleetSettings(file); });
}

}  // namespace anvilridge
