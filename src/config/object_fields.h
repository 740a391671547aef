#ifndef ANVILRIDGE_CONFIG_OBJECT_FIELDS_H_
#define ANVILRIDGE_CONFIG_OBJECT_FIELDS_H_

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "config/config_state.h"

namespace anvilridge {

/// Who sets a field of an object.
enum class field_use {
  /// `create` must set it, `change` may.
  required,
  /// `create` and `change` may set it.
  optional,
  /// Set by other verbs, such as `drain`.
  internal
};

/// How one field of an object is read from and written as text: the one table
/// behind the command language, log records, snapshots and queries.
template <typename T>
struct object_field {
  absl::string_view name;
  field_use use;
  /// What a value must be, for a person.
  absl::string_view expected;
  /// Returns whether `text` was a proper value and was stored.
  bool (*set)(T& object, absl::string_view text);
  std::string (*get)(const T& object);
};

/// Returns the fields of objects of type `T`.
template <typename T>
absl::Span<const object_field<T>> FieldsOf();

template <>
absl::Span<const object_field<pool_config>> FieldsOf();
template <>
absl::Span<const object_field<upstream_config>> FieldsOf();
template <>
absl::Span<const object_field<route_config>> FieldsOf();
template <>
absl::Span<const object_field<team_config>> FieldsOf();
template <>
absl::Span<const object_field<key_config>> FieldsOf();
template <>
absl::Span<const object_field<link_config>> FieldsOf();

/// What a person may write of a field.
struct field_rule {
  absl::string_view name;
  field_use use = field_use::optional;
  absl::string_view expected;
};

/// Returns the fields that `verb` takes for objects of `kind`; empty for verbs
/// without fields.
std::vector<field_rule> FieldRules(command_verb verb, object_kind kind);

/// Returns whether `text` is a proper value of the field.
bool IsFieldValue(command_verb verb, object_kind kind, absl::string_view name,
                  absl::string_view text);

/// Calls `use` with the map of `state` that holds objects of `kind`, which
/// must not be `request`.
template <typename State, typename Use>
auto WithObjects(State& state, object_kind kind, Use use) {
  switch (kind) {
    case object_kind::upstream:
      return use(state.upstreams);
    case object_kind::route:
      return use(state.routes);
    case object_kind::team:
      return use(state.teams);
    case object_kind::key:
      return use(state.keys);
    case object_kind::link:
      return use(state.links);
    case object_kind::pool:
    case object_kind::request:
      break;
  }
  return use(state.pools);
}

/// Returns the version of an object; zero when there is none.
int64_t VersionOf(const config_state& state, object_kind kind,
                  absl::string_view name);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_OBJECT_FIELDS_H_
