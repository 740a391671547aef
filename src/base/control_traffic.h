#ifndef ANVILRIDGE_BASE_CONTROL_TRAFFIC_H_
#define ANVILRIDGE_BASE_CONTROL_TRAFFIC_H_

#include <cstdint>

namespace anvilridge {

/// Counts bytes that were sent to or received from other daemons. Safe on any
/// thread.
void CountControlBytes(int64_t bytes);

/// Returns the bytes that this process has counted since its start.
int64_t ControlBytes();

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_CONTROL_TRAFFIC_H_
