#include "settings/settings_values.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace anvilridge {
namespace {

/// Most digits that fit any of the integers here.
constexpr size_t kMaxDigits = 15;

struct duration_unit {
  absl::string_view suffix;
  absl::Duration length;
};

/// Largest first; `ms` before the units whose letters it ends in.
const std::array kUnits = {
    duration_unit{"h", absl::Hours(1)},
    duration_unit{"m", absl::Minutes(1)},
    duration_unit{"ms", absl::Milliseconds(1)},
    duration_unit{"s", absl::Seconds(1)},
};

bool IsAddress(int family, const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  return inet_pton(family, text.c_str(), binary.data()) == 1;
}

}  // namespace

std::optional<int64_t> ParseInteger(absl::string_view text) {
  const bool digits =
      !text.empty() && text.size() <= kMaxDigits &&
      std::all_of(text.begin(), text.end(), absl::ascii_isdigit);
  int64_t value = 0;
  if (!digits || (text.size() > 1 && text.front() == '0')) return std::nullopt;
  if (!absl::SimpleAtoi(text, &value)) return std::nullopt;
  return value;
}

std::optional<bool> ParseBoolean(absl::string_view text) {
  if (text == "true") return true;
  if (text == "false") return false;
  return std::nullopt;
}

std::optional<absl::Duration> ParseSettingsDuration(absl::string_view text) {
  for (const duration_unit& unit : kUnits) {
    if (!absl::EndsWith(text, unit.suffix)) continue;
    const auto count =
        ParseInteger(text.substr(0, text.size() - unit.suffix.size()));
    if (count) return *count * unit.length;
  }
  return std::nullopt;
}

std::string SettingsDurationText(absl::Duration duration) {
  constexpr std::array kLargestFirst = {0, 1, 3, 2};
  for (const int i : kLargestFirst) {
    const duration_unit& unit = kUnits.at(i);
    if (duration % unit.length != absl::ZeroDuration()) continue;
    return absl::StrCat(duration / unit.length, unit.suffix);
  }
  return absl::FormatDuration(duration);
}

std::optional<endpoint> ParseEndpoint(absl::string_view text) {
  constexpr int kMaxPort = 65535;
  const size_t colon = text.rfind(':');
  if (colon == absl::string_view::npos) return std::nullopt;
  absl::string_view address = text.substr(0, colon);
  const bool bracketed =
      absl::ConsumePrefix(&address, "[") && absl::ConsumeSuffix(&address, "]");
  const auto port = ParseInteger(text.substr(colon + 1));
  if (!port || *port > kMaxPort) return std::nullopt;
  endpoint value;
  value.address = std::string(address);
  value.port = static_cast<uint16_t>(*port);
  if (value.address.find('\0') != std::string::npos) return std::nullopt;
  if (!IsAddress(bracketed ? AF_INET6 : AF_INET, value.address)) {
    return std::nullopt;
  }
  return value;
}

std::string EndpointText(const endpoint& value) {
  if (absl::StrContains(value.address, ":")) {
    return absl::StrCat("[", value.address, "]:", value.port);
  }
  return absl::StrCat(value.address, ":", value.port);
}

std::optional<std::vector<std::string>> ParseEndpointList(
    absl::string_view text) {
  std::vector<std::string> list;
  if (absl::StripAsciiWhitespace(text).empty()) return list;
  for (absl::string_view part : absl::StrSplit(text, ',')) {
    const auto value = ParseEndpoint(absl::StripAsciiWhitespace(part));
    if (!value || value->port == 0) return std::nullopt;
    list.push_back(EndpointText(*value));
  }
  return list;
}

}  // namespace anvilridge
