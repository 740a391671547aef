#include "fleet_daemon/fleet_settings.h"

#include <algorithm>
#include <array>
#include <functional>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "settings/ini_reader.h"
#include "settings/settings_values.h"

namespace anvilridge {
namespace {

// One day.
constexpr double kMaxSeconds = 86400;

// Parses a value and stores it; returns false if the value is not allowed.
using value_setter = std::function<bool(absl::string_view, fleet_settings&)>;

// One key that the settings file may contain.
struct fleet_key {
  absl::string_view section;
  absl::string_view key;
  bool required;
  // Description of the allowed values, for errors.
  absl::string_view allowed;
  value_setter set;
};

value_setter TextSetter(std::string fleet_settings::*field) {
  return [field](absl::string_view value, fleet_settings& settings) {
    settings.*field = std::string(value);
    return !value.empty();
  };
}

value_setter PortSetter(port_settings fleet_settings::*field) {
  return [field](absl::string_view value, fleet_settings& settings) {
    const auto parsed = ParseEndpoint(value);
    if (parsed) (settings.*field).listen = *parsed;
    return parsed.has_value();
  };
}

// Parses a number from `min` to `max`; leaves `number` unchanged on failure.
bool ParseNumber(absl::string_view text, double min, double max,
                 double& number) {
  double parsed = 0;
  if (!absl::SimpleAtod(text, &parsed)) return false;
  if (!(parsed >= min && parsed <= max)) return false;
  number = parsed;
  return true;
}

// Parses a decimal number with the unit `ms` or `s`, of at most one day.
bool ParseDuration(absl::string_view text, absl::Duration& duration) {
  double number = 0;
  if (absl::ConsumeSuffix(&text, "ms")) {
    if (!ParseNumber(text, 0, kMaxSeconds * 1000, number)) return false;
    duration = absl::Milliseconds(number);
    return true;
  }
  if (!absl::ConsumeSuffix(&text, "s")) return false;
  if (!ParseNumber(text, 0, kMaxSeconds, number)) return false;
  duration = absl::Seconds(number);
  return true;
}

// As above, for a time above 0; leaves `window` unchanged on failure.
bool ParseWindow(absl::string_view text, absl::Duration& window) {
  absl::Duration parsed;
  if (!ParseDuration(text, parsed) || parsed <= absl::ZeroDuration()) {
    return false;
  }
  window = parsed;
  return true;
}

// Parses a whole number up to `max`; leaves `count` unchanged on failure.
bool ParseCount(absl::string_view text, int64_t max, int64_t& count) {
  const auto parsed = ParseInteger(text);
  if (!parsed || *parsed > max) return false;
  count = *parsed;
  return true;
}

constexpr absl::string_view kDurationForm = "a number with the unit ms or s";
constexpr absl::string_view kAddressForm = "address:port";

const std::vector<fleet_key>& Keys() {
  constexpr int64_t kMaxBytes = int64_t{1} << 30;
  constexpr int64_t kMaxConnections = 1'000'000;
  constexpr int64_t kMinMemoryMb = 16;
  constexpr int64_t kMaxMemoryMb = int64_t{1} << 20;
  static const auto* const kKeys = new std::vector<fleet_key>{
      {"daemon", "name", true, "any text", TextSetter(&fleet_settings::name)},
      {"daemon", "failure_domain", true, "any text",
       TextSetter(&fleet_settings::failure_domain)},
      {"caller", "listen", true, kAddressForm,
       PortSetter(&fleet_settings::caller)},
      {"readiness", "listen", true, kAddressForm,
       PortSetter(&fleet_settings::readiness)},
      {"readiness", "path", false, "a path that begins with /",
       [](absl::string_view value, fleet_settings& settings) {
         settings.readiness_path = std::string(value);
         return absl::StartsWith(value, "/");
       }},
      {"metrics", "listen", true, kAddressForm,
       PortSetter(&fleet_settings::metrics)},
      {"sharing", "listen", true, kAddressForm,
       PortSetter(&fleet_settings::sharing)},
      {"store", "address", true, kAddressForm,
       [](absl::string_view value, fleet_settings& settings) {
         const auto parsed = ParseEndpoint(value);
         if (parsed) settings.store = *parsed;
         return parsed.has_value();
       }},
      {"limits", "max_connections", false, "a whole number",
       [](absl::string_view value, fleet_settings& settings) {
         int64_t count = 0;
         if (!ParseCount(value, kMaxConnections, count)) return false;
         settings.limits.max_connections = static_cast<int>(count);
         return true;
       }},
      {"limits", "max_requests", false, "a whole number",
       [](absl::string_view value, fleet_settings& settings) {
         int64_t count = 0;
         if (!ParseCount(value, kMaxConnections, count)) return false;
         settings.limits.max_requests = static_cast<int>(count);
         return true;
       }},
      {"limits", "max_body_bytes", false, "a whole number",
       [](absl::string_view value, fleet_settings& settings) {
         return ParseCount(value, kMaxBytes, settings.limits.max_body_bytes);
       }},
      {"limits", "max_header_bytes", false, "a whole number",
       [](absl::string_view value, fleet_settings& settings) {
         return ParseCount(value, kMaxBytes, settings.limits.max_header_bytes);
       }},
      {"limits", "idle_timeout", false, kDurationForm,
       [](absl::string_view value, fleet_settings& settings) {
         return ParseDuration(value, settings.limits.idle_timeout);
       }},
      {"memory", "machine_mb", false, "a whole number from 16 to 1048576",
       [](absl::string_view value, fleet_settings& settings) {
         int64_t megabytes = 0;
         if (!ParseCount(value, kMaxMemoryMb, megabytes) ||
             megabytes < kMinMemoryMb) {
           return false;
         }
         settings.memory = megabytes << 20;
         return true;
       }},
      {"budget", "ratio", false, "a number from 0 to 1",
       [](absl::string_view value, fleet_settings& settings) {
         return ParseNumber(value, 0, 1, settings.budget.ratio);
       }},
      {"budget", "slack", false, "a number",
       [](absl::string_view value, fleet_settings& settings) {
         double slack = 0;
         if (!ParseNumber(value, 0, kMaxConnections, slack)) return false;
         settings.budget.slack = static_cast<int>(slack);
         return true;
       }},
      {"budget", "window", false, "a number above 0 with the unit ms or s",
       [](absl::string_view value, fleet_settings& settings) {
         return ParseWindow(value, settings.budget.window);
       }},
      {"caps", "window", false, "a number above 0 with the unit ms or s",
       [](absl::string_view value, fleet_settings& settings) {
         return ParseWindow(value, settings.caps.window);
       }},
      {"caps", "excess", false, "a number from 0 to 1",
       [](absl::string_view value, fleet_settings& settings) {
         return ParseNumber(value, 0, 1, settings.caps.excess);
       }},
      {"caps", "slack", false, "a number from 0 to 1000000000",
       [](absl::string_view value, fleet_settings& settings) {
         constexpr double kMaxSlack = 1e9;
         return ParseNumber(value, 0, kMaxSlack, settings.caps.slack);
       }},
      {"stop", "grace", false, kDurationForm,
       [](absl::string_view value, fleet_settings& settings) {
         return ParseDuration(value, settings.stop_grace);
       }},
      {"orders", "lease", false, kDurationForm,
       [](absl::string_view value, fleet_settings& settings) {
         return ParseDuration(value, settings.order_lease);
       }},
      {"log", "level", false, "debug, info, warn or error",
       [](absl::string_view value, fleet_settings& settings) {
         constexpr std::array<absl::string_view, 4> kLevels = {"debug", "info",
                                                               "warn", "error"};
         settings.log.level = std::string(value);
         return std::find(kLevels.begin(), kLevels.end(), value) !=
                kLevels.end();
       }},
      {"log", "destination", false, "stdout, stderr or a file",
       [](absl::string_view value, fleet_settings& settings) {
         settings.log.destination = std::string(value);
         return !value.empty();
       }},
  };
  return *kKeys;
}

const fleet_key* FindKey(absl::string_view section, absl::string_view key) {
  for (const fleet_key& row : Keys()) {
    if (row.section == section && row.key == key) return &row;
  }
  return nullptr;
}

}  // namespace

std::variant<fleet_settings, std::vector<settings_error>> ParseFleetSettings(
    absl::string_view text, absl::string_view file) {
  fleet_settings settings;
  std::vector<settings_error> errors;
  const auto add_error = [&](int line, absl::string_view section,
                             absl::string_view key, absl::string_view value,
                             absl::string_view message) {
    errors.push_back({std::string(file), line, std::string(section),
                      std::string(key), std::string(value),
                      std::string(message)});
  };
  const ini_document document = ReadIni(text);
  for (const ini_defect& defect : document.defects) {
    add_error(defect.line, defect.section, defect.text, "", defect.message);
  }
  std::set<std::pair<std::string, std::string>> seen;
  for (const ini_entry& entry : document.entries) {
    const fleet_key* key = FindKey(entry.section, entry.key);
    if (key == nullptr) {
      add_error(entry.line, entry.section, entry.key, entry.value,
                "there is no such key");
    } else if (!seen.emplace(entry.section, entry.key).second) {
      add_error(entry.line, entry.section, entry.key, entry.value,
                "the key is given twice");
    } else if (!key->set(entry.value, settings)) {
      add_error(entry.line, entry.section, entry.key, entry.value,
                absl::StrCat("allowed is ", key->allowed));
    }
  }
  for (const fleet_key& key : Keys()) {
    if (!key.required) continue;
    if (seen.contains({std::string(key.section), std::string(key.key)})) {
      continue;
    }
    add_error(0, key.section, key.key, "",
              absl::StrCat("missing; required is ", key.allowed));
  }
  if (!errors.empty()) return errors;
  return settings;
}

}  // namespace anvilridge
