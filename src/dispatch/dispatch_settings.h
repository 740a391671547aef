#ifndef ANVILRIDGE_DISPATCH_DISPATCH_SETTINGS_H_
#define ANVILRIDGE_DISPATCH_DISPATCH_SETTINGS_H_

#include <cstddef>
#include <string>

#include "absl/time/time.h"
#include "dispatch/send_budget.h"
#include "settings/daemon_settings.h"
#include "teams/team_usage.h"

namespace anvilridge {

/// Settings of a dispatcher.
struct dispatch_settings {
  /// Name by which the other daemons identify this one, and its failure domain.
  std::string daemon;
  std::string failure_domain;
  send_budget_limits budget;
  health_settings health;
  cap_tolerance caps;
  /// Memory of the machine in bytes; bounds what is kept of responses.
  size_t memory = size_t{512} << 20;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DISPATCH_SETTINGS_H_
