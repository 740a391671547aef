#ifndef ANVILRIDGE_DISPATCH_DISPATCH_SETTINGS_H_
#define ANVILRIDGE_DISPATCH_DISPATCH_SETTINGS_H_

#include <string>

#include "absl/time/time.h"
#include "dispatch/send_budget.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// What decides where requests go and how long they wait.
struct dispatch_settings {
  /// Name and failure domain of this daemon, as the others know it.
  std::string daemon;
  std::string failure_domain;
  send_budget_limits budget;
  health_settings health;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DISPATCH_SETTINGS_H_
