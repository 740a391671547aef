#ifndef ANVILRIDGE_PEER_CBOR_FIELDS_H_
#define ANVILRIDGE_PEER_CBOR_FIELDS_H_

#include <QCborArray>
#include <QCborMap>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace anvilridge {

// Reads the fields of a message between daemons by name. A field that is
// missing or of another type is `malformed_request`, naming the field.

/// Returns a text field as UTF-8.
absl::StatusOr<std::string> GetString(const QCborMap& map,
                                      absl::string_view name);
/// Returns an integer field of 64 bits.
absl::StatusOr<int64_t> GetInt(const QCborMap& map, absl::string_view name);
/// Returns a number field, whether sent as an integer or not.
absl::StatusOr<double> GetDouble(const QCborMap& map, absl::string_view name);
absl::StatusOr<bool> GetBool(const QCborMap& map, absl::string_view name);
absl::StatusOr<QCborArray> GetArray(const QCborMap& map,
                                    absl::string_view name);
absl::StatusOr<QCborMap> GetMap(const QCborMap& map, absl::string_view name);

/// Makes a CBOR text of `text`, which is UTF-8.
QCborValue CborText(absl::string_view text);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PEER_CBOR_FIELDS_H_
