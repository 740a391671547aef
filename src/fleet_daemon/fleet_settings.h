#ifndef ANVILRIDGE_FLEET_DAEMON_FLEET_SETTINGS_H_
#define ANVILRIDGE_FLEET_DAEMON_FLEET_SETTINGS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "dispatch/dispatch_settings.h"
#include "settings/daemon_settings.h"
#include "settings/parse_settings.h"
#include "teams/team_usage.h"

namespace anvilridge {

/// The validated settings of a daemon that serves a fleet, one member for each
/// section or key of its INI file.
struct fleet_settings {
  /// `[daemon]`: name of this daemon in the log, and its failure domain.
  std::string name;
  std::string failure_domain;
  /// `[caller]`, `[readiness]`, `[metrics]`
  port_settings caller;
  port_settings readiness;
  std::string readiness_path = "/readyz";
  port_settings metrics;
  /// `[sharing]`: address of the exchange of loads with the other daemons. It
  /// also identifies this daemon among them.
  port_settings sharing;
  /// `[store]`: address of the platform's store.
  endpoint store;
  /// `[limits]`
  limit_settings limits;
  /// `[memory]`: memory of the machine in bytes.
  int64_t memory = int64_t{512} << 20;
  /// `[budget]`
  send_budget_limits budget;
  /// `[caps]`: by how much all daemons together may exceed the teams' caps.
  cap_tolerance caps;
  /// `[health]`
  health_settings health;
  /// `[stop]`: longest time from the signal to the exit.
  absl::Duration stop_grace = absl::Seconds(8);
  /// `[orders]`: lease of this daemon's membership in the group of daemons. The
  /// daemon that may order engines to change their stage keeps that right for
  /// this time after the store last received a message from it.
  absl::Duration order_lease = absl::Seconds(3);
  /// `[log]`
  log_settings log;
};

/// Parses and validates the INI text of a settings file.
/// @param file name of the file, for the errors.
/// @return the settings, or all errors in the text.
std::variant<fleet_settings, std::vector<settings_error>> ParseFleetSettings(
    absl::string_view text, absl::string_view file);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_FLEET_SETTINGS_H_
