#ifndef ANVILRIDGE_SETTINGS_INI_READER_H_
#define ANVILRIDGE_SETTINGS_INI_READER_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace anvilridge {

/// One `[section]` line.
struct ini_section {
  std::string name;
  int line = 0;
};

/// One `key = value` line.
struct ini_entry {
  std::string section;
  std::string key;
  /// Without surrounding white space and quotes.
  std::string value;
  int line = 0;
};

/// One line that can't be read.
struct ini_defect {
  std::string section;
  std::string text;
  std::string message;
  int line = 0;
};

/// The lines of an INI text, in order.
struct ini_document {
  std::vector<ini_section> sections;
  std::vector<ini_entry> entries;
  std::vector<ini_defect> defects;
};

/// Reads an INI text strictly: `[section]`, `key = value` with an optionally
/// quoted value, blank lines, and comment lines that begin with `#` or `;`.
/// Every other line is a defect. QSettings is not used: it takes any text, and
/// drops what it can't read.
ini_document ReadIni(absl::string_view text);

}  // namespace anvilridge

#endif  // ANVILRIDGE_SETTINGS_INI_READER_H_
