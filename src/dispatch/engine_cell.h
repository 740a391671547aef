#ifndef ANVILRIDGE_DISPATCH_ENGINE_CELL_H_
#define ANVILRIDGE_DISPATCH_ENGINE_CELL_H_

#include <cstddef>

#include "absl/strings/string_view.h"

namespace anvilridge {

/// Returns into how many cells a deployment of `engines` model engines is cut.
/// The daemons and engines of a cell keep to each other, so that daemons tell
/// what they have under way to those of their cell only. Always a power of two.
int CellCount(size_t engines);

/// Returns the cell, from 0 to `cells` - 1, of the daemon or engine `name`.
int CellOf(absl::string_view name, int cells);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_ENGINE_CELL_H_
