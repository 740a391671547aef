#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <variant>

#include "absl/strings/str_cat.h"
#include "fleet_daemon/fleet_daemon.h"
#include "platform/config_record.h"
#include "platform/speaker.h"
#include "platform/store_client.h"
#include "platform/upstream_entry.h"
#include "platform/wire_names.h"
#include "settings/settings_values.h"

namespace {

using anvilridge::fleet_settings;
using anvilridge::settings_error;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

std::variant<fleet_settings, std::vector<settings_error>> Load(
    const std::string& file) {
  std::ifstream stream(file);
  std::stringstream text;
  text << stream.rdbuf();
  if (!stream) {
    return std::vector<settings_error>{
        {file, 0, "", "", "", "the file can't be read"}};
  }
  return anvilridge::ParseFleetSettings(text.str(), file);
}

anvilridge::fleet_platform MakePlatform(
    std::unique_ptr<anvilridge::platform::store_client>& store) {
  anvilridge::fleet_platform made;
  made.speaker = anvilridge::platform::MakeSpeaker();
  made.open_sources = [&store](const fleet_settings& settings) {
    store = std::make_unique<anvilridge::platform::store_client>(
        anvilridge::EndpointText(settings.store));
    anvilridge::fleet_sources sources;
    sources.config_topic =
        store->FollowCalls(anvilridge::platform::kOperatorTopic);
    sources.upstream_topic =
        store->FollowCalls(anvilridge::platform::kUpstreamTopic);
    sources.group = store->GroupCalls();
    sources.config_key = anvilridge::platform::kConfigKey;
    sources.read_config = anvilridge::platform::ReadConfigRecord;
    sources.read_upstream = anvilridge::platform::ReadUpstreamEntry;
    return sources;
  };
  return made;
}

}  // namespace

/// Daemon of a fleet on the platform.
int main(int count, char** arguments) {
  cxxopts::Options options("anvilridge_fleet",
                           "Routes the requests of a model fleet");
  options.add_options()("config", "settings file",
                        cxxopts::value<std::string>())(
      "check", "check the settings file and end")("help", "show this text");
  std::string file;
  bool check = false;
  try {
    const auto parsed = options.parse(count, arguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    check = parsed.count("check") > 0;
    file = parsed["config"].as<std::string>();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "anvilridge_fleet: %s\n%s", error.what(),
                 options.help().c_str());
    return kExitUsage;
  }
  const auto loaded = Load(file);
  if (const auto* errors = std::get_if<std::vector<settings_error>>(&loaded)) {
    for (const settings_error& error : *errors) {
      std::fprintf(stderr, "%s\n",
                   anvilridge::SettingsErrorText(error).c_str());
    }
    return kExitFailed;
  }
  if (check) return 0;
  std::unique_ptr<anvilridge::platform::store_client> store;
  const int status = anvilridge::RunFleetDaemon(
      std::get<fleet_settings>(loaded), MakePlatform(store),
      [file] { return Load(file); });
  // All is closed and logged. The libraries' own threads may be waited for
  // without end when static objects are destroyed.
  std::_Exit(status);
}
