#include "base/control_traffic.h"

#include <atomic>

namespace anvilridge {
namespace {

std::atomic<int64_t> control_bytes{0};

}  // namespace

void CountControlBytes(int64_t bytes) {
  control_bytes.fetch_add(bytes, std::memory_order_relaxed);
}

int64_t ControlBytes() { return control_bytes.load(std::memory_order_relaxed); }

}  // namespace anvilridge
