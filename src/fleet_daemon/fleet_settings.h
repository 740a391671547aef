#ifndef ANVILRIDGE_FLEET_DAEMON_FLEET_SETTINGS_H_
#define ANVILRIDGE_FLEET_DAEMON_FLEET_SETTINGS_H_

#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "dispatch/dispatch_settings.h"
#include "settings/daemon_settings.h"
#include "settings/parse_settings.h"

namespace anvilridge {

/// All settings of a daemon that serves a fleet, as checked from its INI file.
struct fleet_settings {
  /// `[daemon]`
  std::string name;
  std::string failure_domain;
  /// `[caller]`, `[readiness]`, `[metrics]`
  port_settings caller;
  port_settings readiness;
  std::string readiness_path = "/readyz";
  port_settings metrics;
  /// `[sharing]`: where daemons tell each other what they have under way.
  port_settings sharing;
  /// `[store]`: the platform's store.
  endpoint store;
  /// `[limits]`
  limit_settings limits;
  /// `[budget]`
  send_budget_limits budget;
  /// `[health]`
  health_settings health;
  /// `[stop]`: time from the signal to the end at the latest.
  absl::Duration stop_grace = absl::Seconds(8);
  /// `[orders]`: how long a holder of engine orders stays alone after it was
  /// heard last.
  absl::Duration order_lease = absl::Seconds(3);
  /// `[log]`
  log_settings log;
};

/// Parses and checks the whole of an INI text; `file` is named in findings.
/// Returns the settings, or every finding.
std::variant<fleet_settings, std::vector<settings_error>> ParseFleetSettings(
    absl::string_view text, absl::string_view file);

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_FLEET_SETTINGS_H_
