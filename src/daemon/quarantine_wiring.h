#ifndef ANVILRIDGE_DAEMON_QUARANTINE_WIRING_H_
#define ANVILRIDGE_DAEMON_QUARANTINE_WIRING_H_

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "daemon/control_state.h"
#include "quarantine/prompt_part.h"
#include "requests/request_services.h"

namespace anvilridge {

/// Adds the functions on prompts that crash engines.
void AddQuarantine(request_services& services, control_state& state);

/// Answers the calls by which other daemons tell what they know of such
/// prompts.
void ServeEvidence(control_state& state);

/// Removes old evidence and tells one other daemon the rest, which makes up for
/// lost messages and reaches daemons that have started since. Called
/// periodically.
void ShareEvidence(control_state& state);

/// Lifts the verdicts that name `part` at all daemons.
void LiftQuarantine(control_state& state, prompt_part part);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_QUARANTINE_WIRING_H_
