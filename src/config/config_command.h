#ifndef ANVILRIDGE_CONFIG_CONFIG_COMMAND_H_
#define ANVILRIDGE_CONFIG_CONFIG_COMMAND_H_

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// What a command does to its object.
enum class command_verb {
  create,
  change,
  remove,
  drain,
  undrain,
  role,
  load,
  unload,
  cancel
};

/// Kinds of objects that commands name.
enum class object_kind { pool, upstream, route, team, key, link, request };

/// One field that a command sets, in the text form of the command language.
struct field_value {
  std::string name;
  std::string value;

  friend bool operator==(const field_value&, const field_value&) = default;
};

/// One command as the log records it.
struct config_command {
  /// Unique to the operator's intent: a record that repeats it has no effect.
  std::string id;
  /// Name of the key that gave the command.
  std::string author;
  std::string reason;
  absl::Time time;
  command_verb verb = command_verb::create;
  object_kind object = object_kind::pool;
  std::string name;
  /// Version of the object that the command was written against; zero for an
  /// object that did not exist.
  int64_t base_version = 0;
  std::vector<field_value> fields;

  friend bool operator==(const config_command&,
                         const config_command&) = default;
};

/// Returns the value of the field `name`, or "".
absl::string_view FieldOf(const config_command& command,
                          absl::string_view name);

/// Encodes `command` as the data of a log record.
QJsonObject EncodeCommand(const config_command& command);

/// Decodes the data of a log record. Unknown members, wrong types and values
/// out of range are `config_invalid` errors that name the member.
absl::StatusOr<config_command> DecodeCommand(const QJsonObject& json);

/// Checks what can be checked without a state: ids, lengths, whether the verb
/// applies to the object, and the names and forms of the fields.
absl::Status CheckCommandForm(const config_command& command);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_CONFIG_COMMAND_H_
