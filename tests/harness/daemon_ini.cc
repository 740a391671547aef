#include "harness/daemon_ini.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

ini_section& SectionNamed(daemon_ini& ini, const std::string& name) {
  const auto found =
      std::find_if(ini.sections.begin(), ini.sections.end(),
                   [&](const ini_section& one) { return one.name == name; });
  if (found != ini.sections.end()) return *found;
  return ini.sections.emplace_back(ini_section{name, {}});
}

}  // namespace

void daemon_ini::Set(const std::string& section, const std::string& key,
                     const std::string& value) {
  auto& entries = SectionNamed(*this, section).entries;
  const auto found =
      std::find_if(entries.begin(), entries.end(),
                   [&](const auto& entry) { return entry.first == key; });
  if (found != entries.end()) {
    found->second = value;
  } else {
    entries.emplace_back(key, value);
  }
}

std::string IniText(const daemon_ini& ini) {
  std::string text;
  for (const ini_section& section : ini.sections) {
    absl::StrAppend(&text, "[", section.name, "]\n");
    for (const auto& [key, value] : section.entries) {
      absl::StrAppend(&text, key, "=", value, "\n");
    }
    absl::StrAppend(&text, "\n");
  }
  return text;
}

}  // namespace anvilridge
