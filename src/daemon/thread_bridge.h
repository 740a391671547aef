#ifndef ANVILRIDGE_DAEMON_THREAD_BRIDGE_H_
#define ANVILRIDGE_DAEMON_THREAD_BRIDGE_H_

#include <QObject>

#include "daemon/control_state.h"
#include "requests/request_services.h"

namespace anvilridge {

/// Returns services for flows on `thread`: each call is posted to the control
/// thread and its callback posted back.
request_services MakeRequestServices(control_state& state, QObject* thread);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_THREAD_BRIDGE_H_
