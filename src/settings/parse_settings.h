#ifndef ANVILRIDGE_SETTINGS_PARSE_SETTINGS_H_
#define ANVILRIDGE_SETTINGS_PARSE_SETTINGS_H_

#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// One finding in a settings file, a line for a person.
struct settings_error {
  std::string file;
  int line = 0;
  std::string section;
  std::string key;
  std::string value;
  /// What is wrong and what is allowed.
  std::string message;
};

/// `file:line: [section] key = value: message`.
std::string SettingsErrorText(const settings_error& error);

/// Parses and checks the whole of an INI text; `file` is named in findings.
/// Returns the settings, or every finding.
std::variant<daemon_settings, std::vector<settings_error>> ParseSettings(
    absl::string_view text, absl::string_view file);

/// Reads and parses a file, and checks that the files it names can be read.
std::variant<daemon_settings, std::vector<settings_error>> LoadSettings(
    absl::string_view file);

/// Reads a secret from a file, without trailing white space.
absl::StatusOr<std::string> ReadKeyFile(absl::string_view file);

}  // namespace anvilridge

#endif  // ANVILRIDGE_SETTINGS_PARSE_SETTINGS_H_
