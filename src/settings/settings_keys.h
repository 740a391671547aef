#ifndef ANVILRIDGE_SETTINGS_SETTINGS_KEYS_H_
#define ANVILRIDGE_SETTINGS_SETTINGS_KEYS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "settings/daemon_settings.h"
#include "settings/settings_table.h"
#include "settings/settings_values.h"

namespace anvilridge {

// The kinds of keys that the table of settings is made of.

/// Where a value goes in the settings.
template <typename T>
using field = std::function<T&(daemon_settings&)>;

/// Section, key and description, common to all types.
struct key_head {
  std::string section;
  std::string key;
  std::string description;
  bool required = false;
};

/// A row that has yet to say how its value is stored and shown.
settings_key MakeKey(key_head head, std::string allowed);

settings_key TextKey(key_head head, std::string allowed,
                     const field<std::string>& at,
                     const std::function<bool(absl::string_view)>& is_allowed);

settings_key NameKey(key_head head, const field<std::string>& at);

settings_key FileKey(key_head head, const field<std::string>& at);

settings_key DurationKey(key_head head, absl::Duration least,
                         absl::Duration most, const field<absl::Duration>& at);

settings_key BooleanKey(key_head head, const field<bool>& at);

settings_key EndpointKey(key_head head, uint16_t least_port,
                         const field<endpoint>& at);

template <typename T>
settings_key IntegerKey(key_head head, int64_t least, int64_t most,
                        const field<T>& at) {
  settings_key row = MakeKey(
      std::move(head), absl::StrCat("an integer from ", least, " to ", most));
  row.set = [=](absl::string_view value, daemon_settings& s) {
    const auto number = ParseInteger(value);
    if (!number || *number < least || *number > most) return false;
    at(s) = static_cast<T>(*number);
    return true;
  };
  row.show = [at](daemon_settings& s) { return absl::StrCat(at(s)); };
  return row;
}

}  // namespace anvilridge

#endif  // ANVILRIDGE_SETTINGS_SETTINGS_KEYS_H_
