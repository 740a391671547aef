#include "config/config_names.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace anvilridge {

absl::Span<const enum_name<pool_role>> NamesOf(pool_role) {
  static constexpr enum_name<pool_role> kNames[] = {
      {pool_role::prefill, "prefill"},
      {pool_role::decode, "decode"},
      {pool_role::service, "service"}};
  return kNames;
}

absl::Span<const enum_name<pool_objective>> NamesOf(pool_objective) {
  static constexpr enum_name<pool_objective> kNames[] = {
      {pool_objective::goodput, "goodput"},
      {pool_objective::wasted_prefill, "wasted_prefill"}};
  return kNames;
}

absl::Span<const enum_name<operator_role>> NamesOf(operator_role) {
  static constexpr enum_name<operator_role> kNames[] = {
      {operator_role::none, "none"},
      {operator_role::read, "read"},
      {operator_role::operate, "operate"},
      {operator_role::administer, "administer"}};
  return kNames;
}

absl::Span<const enum_name<order_kind>> NamesOf(order_kind) {
  static constexpr enum_name<order_kind> kNames[] = {
      {order_kind::load, "load"},
      {order_kind::unload, "unload"},
      {order_kind::role, "role"}};
  return kNames;
}

absl::Span<const enum_name<command_verb>> NamesOf(command_verb) {
  static constexpr enum_name<command_verb> kNames[] = {
      {command_verb::create, "create"},   {command_verb::change, "change"},
      {command_verb::remove, "remove"},   {command_verb::drain, "drain"},
      {command_verb::undrain, "undrain"}, {command_verb::role, "role"},
      {command_verb::load, "load"},       {command_verb::unload, "unload"},
      {command_verb::cancel, "cancel"}};
  return kNames;
}

absl::Span<const enum_name<object_kind>> NamesOf(object_kind) {
  static constexpr enum_name<object_kind> kNames[] = {
      {object_kind::pool, "pool"},      {object_kind::upstream, "upstream"},
      {object_kind::route, "route"},    {object_kind::team, "team"},
      {object_kind::key, "key"},        {object_kind::link, "link"},
      {object_kind::request, "request"}};
  return kNames;
}

absl::Span<const enum_name<command_outcome>> NamesOf(command_outcome) {
  static constexpr enum_name<command_outcome> kNames[] = {
      {command_outcome::accepted, "accepted"},
      {command_outcome::contested, "contested"},
      {command_outcome::rejected, "rejected"}};
  return kNames;
}

std::string Alternatives(absl::Span<const absl::string_view> words) {
  if (words.empty()) return "nothing";
  if (words.size() == 1) return std::string(words[0]);
  return absl::StrCat(absl::StrJoin(words.subspan(0, words.size() - 1), ", "),
                      " or ", words.back());
}

}  // namespace anvilridge
