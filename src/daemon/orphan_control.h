#ifndef ANVILRIDGE_DAEMON_ORPHAN_CONTROL_H_
#define ANVILRIDGE_DAEMON_ORPHAN_CONTROL_H_

#include "absl/types/span.h"
#include "config/config_state.h"
#include "daemon/control_state.h"
#include "upstreams/engine_client.h"

namespace anvilridge {

/// Answers other daemons that ask which requests are still in progress here.
void ServeHeldQuestions(control_state& state);

/// Cancels what the engine holds for owners that are gone, and asks those that
/// live about requests that nobody reads. Called with each list of an engine
/// whose home is this daemon.
void SweepOrphans(control_state& state, const upstream_config& engine,
                  absl::Span<const engine_request> listed);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_ORPHAN_CONTROL_H_
