#ifndef ANVILRIDGE_CONFIG_CONFIG_SNAPSHOT_H_
#define ANVILRIDGE_CONFIG_CONFIG_SNAPSHOT_H_

#include <QJsonObject>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "config/config_state.h"

namespace anvilridge {

/// Encodes a whole state with its history. Equal states give equal objects.
QJsonObject EncodeSnapshot(const config_state& state);

/// Decodes `EncodeSnapshot`'s object; a state that is not whole or not valid
/// is a `config_invalid` error.
absl::StatusOr<config_state> DecodeSnapshot(const QJsonObject& json);

/// Returns the snapshot as canonical JSON text, for peers.
std::string SnapshotText(const config_state& state);

/// Parses `SnapshotText`'s form.
absl::StatusOr<config_state> ParseSnapshot(absl::string_view text);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_CONFIG_SNAPSHOT_H_
