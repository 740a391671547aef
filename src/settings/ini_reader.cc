#include "settings/ini_reader.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"

namespace anvilridge {
namespace {

bool IsName(absl::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isalnum(c) || c == '_' || c == '-' || c == '.';
  });
}

/// Strips one pair of double quotes; returns false when only one is there.
bool Unquote(absl::string_view& value) {
  const bool opens = !value.empty() && value.front() == '"';
  const bool closes = value.size() > 1 && value.back() == '"';
  if (!opens && !(closes && value.find('"') == value.size() - 1)) return true;
  if (!opens || !closes) return false;
  value = value.substr(1, value.size() - 2);
  return true;
}

bool HasControls(absl::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return c != '\t' && absl::ascii_iscntrl(c);
  });
}

}  // namespace

ini_document ReadIni(absl::string_view text) {
  ini_document document;
  std::string section;
  int line_number = 0;
  for (absl::string_view raw : absl::StrSplit(text, '\n')) {
    ++line_number;
    const absl::string_view line = absl::StripAsciiWhitespace(raw);
    const auto defect = [&](absl::string_view message) {
      document.defects.push_back(
          {section, std::string(line), std::string(message), line_number});
    };
    if (line.empty() || line.front() == '#' || line.front() == ';') continue;
    if (HasControls(line)) {
      defect("control characters are not allowed");
      continue;
    }
    if (line.front() == '[') {
      const absl::string_view name = absl::StripAsciiWhitespace(
          line.substr(1, line.back() == ']' ? line.size() - 2 : 0));
      if (!IsName(name)) {
        defect("a section is written [name]");
        continue;
      }
      section = std::string(name);
      document.sections.push_back({section, line_number});
      continue;
    }
    const size_t equals = line.find('=');
    const absl::string_view key =
        absl::StripAsciiWhitespace(line.substr(0, equals));
    if (equals == absl::string_view::npos || !IsName(key)) {
      defect("expected key = value, [section] or a comment line");
      continue;
    }
    absl::string_view value =
        absl::StripAsciiWhitespace(line.substr(equals + 1));
    if (!Unquote(value)) {
      defect("a quote is not closed");
      continue;
    }
    document.entries.push_back(
        {section, std::string(key), std::string(value), line_number});
  }
  return document;
}

}  // namespace anvilridge
