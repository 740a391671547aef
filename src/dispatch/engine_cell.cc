#include "dispatch/engine_cell.h"

#include <xxhash.h>

namespace anvilridge {
namespace {

// Engines of a cell, from this up to twice as many: enough for a burst to
// spread over, and for a dozen daemons, each of which hears all others.
constexpr size_t kLeastEngines = 128;

}  // namespace

int CellCount(size_t engines) {
  int cells = 1;
  while (engines >= 2 * kLeastEngines * static_cast<size_t>(cells)) cells *= 2;
  return cells;
}

int CellOf(absl::string_view name, int cells) {
  return static_cast<int>(XXH64(name.data(), name.size(), 0) %
                          static_cast<uint64_t>(cells));
}

}  // namespace anvilridge
