#ifndef ANVILRIDGE_DAEMON_HEALTH_CONTROL_H_
#define ANVILRIDGE_DAEMON_HEALTH_CONTROL_H_

#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "daemon/control_state.h"
#include "upstreams/pool_health.h"

namespace anvilridge {

/// Notes the result of a call to an upstream, and takes it out of use at once
/// if that ejects it.
void ReportUpstream(control_state& state, absl::string_view upstream,
                    call_result result);

/// Publishes which upstreams are ejected or returning, and logs each change.
void PublishHealth(control_state& state);

/// Returns what operators see of a standing, such as `returning 40%`.
std::string HealthText(const health_standing& standing, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_HEALTH_CONTROL_H_
