#include "base/heap_blocks.h"

#include <malloc.h>

namespace anvilridge {
namespace {

// Size of an allocation from which it is returned to the system when it is
// freed. Without a fixed size, the C library raises it once a body has been
// freed, and later bodies fragment the heap.
constexpr int kMmapThresholdBytes = 128 << 10;

}  // namespace

void ReturnLargeBlocksWhenFreed() {
  ::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
}

}  // namespace anvilridge
