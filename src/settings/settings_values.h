#ifndef ANVILRIDGE_SETTINGS_SETTINGS_VALUES_H_
#define ANVILRIDGE_SETTINGS_SETTINGS_VALUES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// Parses a decimal integer without sign, spaces or leading zeros.
std::optional<int64_t> ParseInteger(absl::string_view text);

/// Parses `true` or `false`.
std::optional<bool> ParseBoolean(absl::string_view text);

/// Parses an integer with the unit `ms`, `s`, `m` or `h`, such as `500ms`.
std::optional<absl::Duration> ParseSettingsDuration(absl::string_view text);

/// Returns the form that `ParseSettingsDuration` reads, in the largest unit
/// that gives an integer.
std::string SettingsDurationText(absl::Duration duration);

/// Parses `a.b.c.d:port` or `[ipv6]:port`. Host names are not addresses here.
std::optional<endpoint> ParseEndpoint(absl::string_view text);

/// Returns the form that `ParseEndpoint` reads.
std::string EndpointText(const endpoint& value);

/// Parses a list of endpoints with ports, separated by commas; may be empty.
std::optional<std::vector<std::string>> ParseEndpointList(
    absl::string_view text);

}  // namespace anvilridge

#endif  // ANVILRIDGE_SETTINGS_SETTINGS_VALUES_H_
