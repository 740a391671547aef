#ifndef ANVILRIDGE_BASE_CONTROL_TRAFFIC_H_
#define ANVILRIDGE_BASE_CONTROL_TRAFFIC_H_

#include <cstdint>

namespace anvilridge {

/// How daemons talk: datagrams of membership, or calls over connections.
enum class control_channel { membership, peers };

enum class traffic_direction { sent, received };

/// Counts bytes that this process exchanged with other daemons, TCP, UDP and IP
/// headings left out. Safe on any thread.
void CountControlBytes(control_channel channel, traffic_direction direction,
                       int64_t bytes);

/// Returns the bytes counted since the start of the process.
int64_t ControlBytes(control_channel channel, traffic_direction direction);

/// Returns those of all channels, both ways.
int64_t ControlBytes();

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_CONTROL_TRAFFIC_H_
