#ifndef ANVILRIDGE_SHARING_STORE_READERS_H_
#define ANVILRIDGE_SHARING_STORE_READERS_H_

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace anvilridge {

/// Daemons of a cell that read the store's topics for all of them. Two may fail
/// at once without a gap in the reports.
inline constexpr int kStoreReaders = 3;

/// Returns whether the daemon `own_name` is a reader: whether it is among the
/// `kStoreReaders` first ones of its cell in an order that all daemons derive
/// from the names alike. Daemons that don't hear each other may choose too many
/// readers, but never too few.
/// @param peers names of the other daemons of the cell that are heard.
bool IsStoreReader(absl::string_view own_name,
                   absl::Span<const absl::string_view> peers);

}  // namespace anvilridge

#endif  // ANVILRIDGE_SHARING_STORE_READERS_H_
