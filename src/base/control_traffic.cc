#include "base/control_traffic.h"

#include <array>
#include <atomic>

namespace anvilridge {
namespace {

using direction_bytes = std::array<std::atomic<int64_t>, 2>;

std::array<direction_bytes, 2> control_bytes{};

std::atomic<int64_t>& Counter(control_channel channel,
                              traffic_direction direction) {
  direction_bytes& counters = control_bytes.at(static_cast<size_t>(channel));
  return counters.at(static_cast<size_t>(direction));
}

}  // namespace

void CountControlBytes(control_channel channel, traffic_direction direction,
                       int64_t bytes) {
  Counter(channel, direction).fetch_add(bytes, std::memory_order_relaxed);
}

int64_t ControlBytes(control_channel channel, traffic_direction direction) {
  return Counter(channel, direction).load(std::memory_order_relaxed);
}

int64_t ControlBytes() {
  int64_t total = 0;
  for (const direction_bytes& channel : control_bytes) {
    for (const auto& bytes : channel) total += bytes.load();
  }
  return total;
}

}  // namespace anvilridge
