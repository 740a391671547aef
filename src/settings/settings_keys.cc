#include "settings/settings_keys.h"

#include <utility>

#include "base/ids.h"

namespace anvilridge {

settings_key MakeKey(key_head head, std::string allowed) {
  settings_key row;
  row.section = std::move(head.section);
  row.key = std::move(head.key);
  row.description = std::move(head.description);
  row.required = head.required;
  row.allowed = std::move(allowed);
  return row;
}

settings_key TextKey(key_head head, std::string allowed,
                     const field<std::string>& at,
                     const std::function<bool(absl::string_view)>& is_allowed) {
  settings_key row = MakeKey(std::move(head), std::move(allowed));
  row.set = [at, is_allowed](absl::string_view value, daemon_settings& s) {
    at(s) = std::string(value);
    return is_allowed(value);
  };
  row.show = [at](daemon_settings& s) { return at(s); };
  return row;
}

settings_key NameKey(key_head head, const field<std::string>& at) {
  return TextKey(std::move(head),
                 "1 to 64 characters of letters, digits, '-', '_' and '.'", at,
                 IsSafeId);
}

settings_key FileKey(key_head head, const field<std::string>& at) {
  settings_key row =
      TextKey(std::move(head), "the name of a readable file", at,
              [](absl::string_view value) { return !value.empty(); });
  row.names_file = true;
  return row;
}

settings_key DurationKey(key_head head, absl::Duration least,
                         absl::Duration most, const field<absl::Duration>& at) {
  settings_key row = MakeKey(
      std::move(head),
      absl::StrCat("a duration from ", SettingsDurationText(least), " to ",
                   SettingsDurationText(most), ", in ms, s, m or h"));
  row.set = [=](absl::string_view value, daemon_settings& s) {
    const auto duration = ParseSettingsDuration(value);
    if (!duration || *duration < least || *duration > most) return false;
    at(s) = *duration;
    return true;
  };
  row.show = [at](daemon_settings& s) { return SettingsDurationText(at(s)); };
  return row;
}

settings_key BooleanKey(key_head head, const field<bool>& at) {
  settings_key row = MakeKey(std::move(head), "true or false");
  row.set = [at](absl::string_view value, daemon_settings& s) {
    const auto flag = ParseBoolean(value);
    if (!flag) return false;
    at(s) = *flag;
    return true;
  };
  row.show = [at](daemon_settings& s) { return at(s) ? "true" : "false"; };
  return row;
}

settings_key EndpointKey(key_head head, uint16_t least_port,
                         const field<endpoint>& at) {
  settings_key row = MakeKey(
      std::move(head),
      absl::StrCat("ip:port with a port from ", least_port, " to 65535"));
  row.set = [=](absl::string_view value, daemon_settings& s) {
    const auto parsed = ParseEndpoint(value);
    if (!parsed || parsed->port < least_port) return false;
    at(s) = *parsed;
    return true;
  };
  row.show = [at](daemon_settings& s) { return EndpointText(at(s)); };
  return row;
}

}  // namespace anvilridge
