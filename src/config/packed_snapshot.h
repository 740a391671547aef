#ifndef ANVILRIDGE_CONFIG_PACKED_SNAPSHOT_H_
#define ANVILRIDGE_CONFIG_PACKED_SNAPSHOT_H_

#include <QByteArray>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace anvilridge {

/// Compresses `SnapshotText`'s form, so that the state of thousands of engines
/// fits into one answer between daemons.
QByteArray PackSnapshotText(absl::string_view text);

/// Returns the text again; `config_invalid` when `packed` is damaged or names
/// a size that no configuration has.
absl::StatusOr<std::string> UnpackSnapshotText(const QByteArray& packed);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_PACKED_SNAPSHOT_H_
