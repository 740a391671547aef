#ifndef ANVILRIDGE_DISPATCH_ENGINE_CELL_H_
#define ANVILRIDGE_DISPATCH_ENGINE_CELL_H_

#include <cstddef>

#include "absl/strings/string_view.h"

namespace anvilridge {

/// Returns the number of cells of a deployment with `engines` model engines;
/// always a power of two. The daemons of a cell use only the engines of that
/// cell, so that they need to exchange their load only with each other.
int CellCount(size_t engines);

/// Returns the cell of the daemon or engine `name`, from 0 to `cells` - 1.
int CellOf(absl::string_view name, int cells);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_ENGINE_CELL_H_
