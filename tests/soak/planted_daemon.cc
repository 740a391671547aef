// The daemon with one fault planted, to show that the soak catches it.
#include <unistd.h>

#include <QTimer>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "base/error_kind.h"
#include "fleet_daemon/fleet_program.h"
#include "platform/fleet_platform.h"

namespace anvilridge {
namespace {

constexpr int kFirstServerError = 500;
constexpr int kExitUsage = 2;
constexpr absl::Duration kPlantedPatience = absl::Seconds(1);
constexpr unsigned kPlantedStopS = 7;

// Takes a failure for a refusal, so that what has run is sent again.
void PlantResend(fleet_platform& platform) {
  platform.protocol.parse_response = [read = platform.protocol.parse_response](
                                         int status,
                                         const http_headers& headers) {
    response_info facts = read(status, headers);
    if (status >= kFirstServerError) facts.not_run = true;
    return facts;
  };
}

// Keeps the first configuration under each newer one's version.
void PlantStaleView(fleet_platform& platform) {
  platform.open_sources =
      [open = platform.open_sources](const fleet_settings& settings) {
        fleet_sources sources = open(settings);
        const auto first = std::make_shared<std::string>();
        sources.parse_config = [read = sources.parse_config,
                                first](absl::string_view value) {
          if (first->empty()) *first = std::string(value);
          auto config = read(*first);
          const auto newest = read(value);
          if (config.ok() && newest.ok()) config->version = newest->version;
          return config;
        };
        return sources;
      };
}

// Says of what may have run that it hasn't.
void PlantFalseRefusal(fleet_platform& platform) {
  platform.protocol.refuse = [refuse = platform.protocol.refuse](
                                 inbound_exchange& exchange,
                                 const absl::Status& error,
                                 absl::string_view request_id) {
    if (RunStateOf(error) != run_state::unknown) {
      return refuse(exchange, error, request_id);
    }
    refuse(exchange,
           MakeError(error_kind::overloaded, "planted", run_state::not_run,
                     absl::Milliseconds(100)),
           request_id);
  };
}

// Gives decode engines up that were silent for a second, whether or not the
// stream can go on elsewhere.
void PlantNoPatience(fleet_platform& platform) {
  platform.protocol.build_send_call =
      [build = platform.protocol.build_send_call](
          const fleet_request& request, const send_parameters& parameters) {
        http_call call = build(request, parameters);
        if (parameters.purpose == send_purpose::decode) {
          call.stall_timeout = kPlantedPatience;
        }
        return call;
      };
}

// Ignores what upstreams state about themselves.
void PlantDeafness(fleet_platform& platform) {
  platform.protocol.parse_response = [read = platform.protocol.parse_response](
                                         int status,
                                         const http_headers& headers) {
    response_info info = read(status, headers);
    info.statement = {};
    return info;
  };
}

// Doesn't know which parts prompts have in common.
void PlantNoParts(fleet_platform& platform) {
  platform.protocol.parse_request = [parse = platform.protocol.parse_request](
                                        const inbound_request& inbound) {
    absl::StatusOr<fleet_request> request = parse(inbound);
    if (request.ok()) request->shared_parts.clear();
    return request;
  };
}

// Begins whatever arrives, without a word to callers, until a planned stop ends
// the process.
void PlantLateCalls(fleet_platform& platform) {
  platform.open_sources =
      [open = platform.open_sources](const fleet_settings& settings) {
        // In place of the daemon's own handler, once that is set.
        QTimer::singleShot(0, [] {
          std::signal(SIGALRM, [](int) { std::_Exit(0); });
          std::signal(SIGTERM, [](int) {
            std::signal(SIGTERM, SIG_IGN);
            alarm(kPlantedStopS);
          });
        });
        return open(settings);
      };
}

// Knows no caps of teams.
void PlantNoCaps(fleet_platform& platform) {
  platform.open_sources = [open = platform.open_sources](
                              const fleet_settings& settings) {
    fleet_sources sources = open(settings);
    sources.parse_config = [parse =
                                sources.parse_config](absl::string_view value) {
      absl::StatusOr<fleet_config> config = parse(value);
      if (!config.ok()) return config;
      for (fleet_team& team : config->teams.teams) {
        team.cap = usage_cap();
      }
      return config;
    };
    return sources;
  };
}

bool Plant(fleet_platform& platform, const std::string& fault) {
  if (fault == "resend") {
    PlantResend(platform);
  } else if (fault == "stale_view") {
    PlantStaleView(platform);
  } else if (fault == "false_refusal") {
    PlantFalseRefusal(platform);
  } else if (fault == "no_patience") {
    PlantNoPatience(platform);
  } else if (fault == "deafness") {
    PlantDeafness(platform);
  } else if (fault == "no_parts") {
    PlantNoParts(platform);
  } else if (fault == "late_calls") {
    PlantLateCalls(platform);
  } else if (fault == "no_caps") {
    PlantNoCaps(platform);
  } else {
    return false;
  }
  return true;
}

}  // namespace
}  // namespace anvilridge

/// As `anvilridge_fleet`, with the name of the fault as first argument.
int main(int count, char** arguments) {
  anvilridge::fleet_platform platform =
      anvilridge::platform::MakeFleetPlatform();
  if (count < 2 || !anvilridge::Plant(platform, arguments[1])) {
    std::fprintf(stderr, "planted_daemon: name a fault\n");
    return anvilridge::kExitUsage;
  }
  std::_Exit(anvilridge::RunFleetProgram(count - 1, arguments + 1, platform));
}
