#ifndef ANVILRIDGE_SETTINGS_SETTINGS_TABLE_H_
#define ANVILRIDGE_SETTINGS_SETTINGS_TABLE_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// One key of the settings file: what is allowed and where it goes. The table
/// of these drives parsing, the check and the reference.
struct settings_key {
  std::string section;
  std::string key;
  bool required = false;
  /// Whether the value names a file that must be readable.
  bool names_file = false;
  /// Ends "allowed is ...".
  std::string allowed;
  std::string description;
  /// Checks and stores a value; false when it is not allowed.
  std::function<bool(absl::string_view value, daemon_settings& settings)> set;
  /// Returns the value as it would be written.
  std::function<std::string(daemon_settings& settings)> show;
};

/// Returns every key, in the order of the reference.
const std::vector<settings_key>& SettingsTable();

/// Returns the row of a key, or null.
const settings_key* FindSettingsKey(absl::string_view section,
                                    absl::string_view key);

/// Whether any key has this section.
bool IsSettingsSection(absl::string_view section);

}  // namespace anvilridge

#endif  // ANVILRIDGE_SETTINGS_SETTINGS_TABLE_H_
