#ifndef ANVILRIDGE_CONFIG_CONFIG_NAMES_H_
#define ANVILRIDGE_CONFIG_CONFIG_NAMES_H_

#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "config/config_state.h"

namespace anvilridge {

/// The stable name of one enumerator in commands, records and answers.
template <typename E>
struct enum_name {
  E value;
  absl::string_view name;
};

absl::Span<const enum_name<pool_role>> NamesOf(pool_role);
absl::Span<const enum_name<pool_objective>> NamesOf(pool_objective);
absl::Span<const enum_name<operator_role>> NamesOf(operator_role);
absl::Span<const enum_name<order_kind>> NamesOf(order_kind);
absl::Span<const enum_name<command_verb>> NamesOf(command_verb);
absl::Span<const enum_name<object_kind>> NamesOf(object_kind);
absl::Span<const enum_name<command_outcome>> NamesOf(command_outcome);

/// Returns the stable name of `value`.
template <typename E>
absl::string_view NameOf(E value) {
  for (const auto& row : NamesOf(value)) {
    if (row.value == value) return row.name;
  }
  return "";
}

/// Returns the enumerator whose stable name is `name`, or nothing.
template <typename E>
std::optional<E> EnumNamed(absl::string_view name) {
  for (const auto& row : NamesOf(E{})) {
    if (row.name == name) return row.value;
  }
  return std::nullopt;
}

/// Returns `words` as "a, b or c".
std::string Alternatives(absl::Span<const absl::string_view> words);

/// Returns the names of an enumeration as "a, b or c".
template <typename E>
std::string AlternativesOf() {
  std::vector<absl::string_view> words;
  for (const auto& row : NamesOf(E{})) words.push_back(row.name);
  return Alternatives(words);
}

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_CONFIG_NAMES_H_
