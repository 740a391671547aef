#include "dispatch/engine_cell.h"

#include <xxhash.h>

namespace anvilridge {
namespace {

// When a deployment has several cells, each has from this number of engines up
// to twice as many: enough to spread a burst over, and for a dozen daemons,
// each of which receives the load of all the others.
constexpr size_t kMinEnginesPerCell = 128;

}  // namespace

int CellCount(size_t engines) {
  int cells = 1;
  while (engines >= 2 * kMinEnginesPerCell * static_cast<size_t>(cells)) {
    cells *= 2;
  }
  return cells;
}

int CellOf(absl::string_view name, int cells) {
  return static_cast<int>(XXH64(name.data(), name.size(), 0) %
                          static_cast<uint64_t>(cells));
}

}  // namespace anvilridge
