#ifndef ANVILRIDGE_DAEMON_LOAD_WIRING_H_
#define ANVILRIDGE_DAEMON_LOAD_WIRING_H_

#include "config/config_service.h"
#include "model_loads/model_load_service.h"

namespace anvilridge {

struct control_state;

model_load_environment LoadEnvironment(control_state& state);

/// Hears from other daemons which engines are leaving.
void RegisterLeavingHandler(control_state& state);

/// Keeps engines with a new role order from new work until their home speaks;
/// to be called with a configuration that is about to come into force.
void NoteRoleOrders(control_state& state,
                    const config_service::state_ptr& in_force);

/// Takes the steps of orders that are due, publishes the engines that get no
/// new work because of them, and tells the other daemons.
void RunLoads(control_state& state);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_LOAD_WIRING_H_
