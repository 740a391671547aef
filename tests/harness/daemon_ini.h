#ifndef ANVILRIDGE_TESTS_HARNESS_DAEMON_INI_H_
#define ANVILRIDGE_TESTS_HARNESS_DAEMON_INI_H_

#include <string>
#include <utility>
#include <vector>

namespace anvilridge {

/// One section of an INI text; keys may repeat, as a test of the parser needs.
struct ini_section {
  std::string name;
  std::vector<std::pair<std::string, std::string>> entries;
};

/// Settings of a daemon as a test writes them.
struct daemon_ini {
  std::vector<ini_section> sections;

  /// Sets `key` of `section`, replacing its first occurrence; adds the section
  /// when there is none.
  void Set(const std::string& section, const std::string& key,
           const std::string& value);
};

/// Returns the INI text.
std::string IniText(const daemon_ini& ini);

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_DAEMON_INI_H_
