#include "config/object_fields.h"

#include <algorithm>

#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "base/ids.h"
#include "config/config_names.h"
#include "config/field_text.h"

namespace anvilridge {
namespace {

using enum field_use;

template <typename T>
using name_check = bool (*)(T&, absl::string_view);

// Text members. `IsForm` checks the value; an optional one may be emptied.

template <typename T, auto Member, auto IsForm>
bool SetText(T& object, absl::string_view text) {
  if (!IsForm(text)) return false;
  object.*Member = std::string(text);
  return true;
}

template <typename T, auto Member, auto IsForm>
bool SetOptionalText(T& object, absl::string_view text) {
  if (!text.empty() && !IsForm(text)) return false;
  object.*Member = std::string(text);
  return true;
}

template <typename T, auto Member>
std::string GetText(const T& object) {
  return object.*Member;
}

template <typename T, auto Member>
bool SetEnum(T& object, absl::string_view text) {
  const auto value =
      EnumNamed<std::remove_reference_t<decltype(object.*Member)>>(text);
  if (!value) return false;
  object.*Member = *value;
  return true;
}

template <typename T, auto Member>
std::string GetEnum(const T& object) {
  return std::string(NameOf(object.*Member));
}

template <typename T, auto Member, int Low, int High>
bool SetWhole(T& object, absl::string_view text) {
  return ReadWhole(text, Low, High, object.*Member);
}

template <typename T, auto Member>
std::string GetWhole(const T& object) {
  return std::to_string(object.*Member);
}

// Numbers from 0 to High; above 0 if `Positive`.
template <typename T, auto Member, int High, bool Positive>
bool SetNumber(T& object, absl::string_view text) {
  double value = 0;
  if (!ReadNumber(text, 0, High, value)) return false;
  if (Positive && value <= 0) return false;
  object.*Member = value;
  return true;
}

template <typename T, auto Member>
std::string GetNumber(const T& object) {
  return NumberText(object.*Member);
}

template <typename T, auto Member>
bool SetYesNo(T& object, absl::string_view text) {
  return ReadYesNo(text, object.*Member);
}

template <typename T, auto Member>
std::string GetYesNo(const T& object) {
  return YesNoText(object.*Member);
}

template <typename T, auto Member>
bool SetDelay(T& object, absl::string_view text) {
  return ReadDelay(text, object.*Member);
}

template <typename T, auto Member>
std::string GetDelay(const T& object) {
  return absl::FormatDuration(object.*Member);
}

bool IsMethod(absl::string_view text) {
  static constexpr absl::string_view kMethods[] = {"GET",    "HEAD", "OPTIONS",
                                                   "DELETE", "PUT",  "POST"};
  return std::count(std::begin(kMethods), std::end(kMethods), text) > 0;
}

bool SetMethods(route_config& route, absl::string_view text) {
  const std::vector<std::string> methods =
      absl::StrSplit(text, ',', absl::SkipEmpty());
  if (!std::all_of(methods.begin(), methods.end(), IsMethod)) return false;
  route.repeatable_methods = methods;
  return true;
}

std::string GetMethods(const route_config& route) {
  return absl::StrJoin(route.repeatable_methods, ",");
}

constexpr absl::string_view kName = "a name of letters, digits, -, _ and .";

template <typename T, auto Member>
constexpr object_field<T> NameField(absl::string_view name, field_use use) {
  if (use == required) {
    return {name, use, kName, SetText<T, Member, IsSafeId>, GetText<T, Member>};
  }
  return {name, use, kName, SetOptionalText<T, Member, IsSafeId>,
          GetText<T, Member>};
}

template <typename T>
std::vector<field_rule> SettableFields() {
  std::vector<field_rule> rules;
  for (const auto& field : FieldsOf<T>()) {
    if (field.use == internal) continue;
    rules.push_back({field.name, field.use, field.expected});
  }
  return rules;
}

template <typename T>
bool IsSettable(absl::string_view name, absl::string_view text) {
  T scratch;
  for (const auto& field : FieldsOf<T>()) {
    if (field.name == name) return field.set(scratch, text);
  }
  return false;
}

const std::vector<field_rule>& LoadRules() {
  static const std::vector<field_rule> kRules = {{"model", required, kName},
                                                 {"version", required, kName},
                                                 {"adapter", optional, kName}};
  return kRules;
}

const std::vector<field_rule>& RoleRules() {
  static const std::vector<field_rule> kRules = {
      {"role", required, "prefill, decode or service"},
      {"pool", required, kName}};
  return kRules;
}

}  // namespace

template <>
absl::Span<const object_field<pool_config>> FieldsOf() {
  using object = pool_config;
  static constexpr object_field<object> kFields[] = {
      {"role", required, "prefill, decode or service",
       SetEnum<object, &object::role>, GetEnum<object, &object::role>},
      NameField<object, &object::model>("model", optional)};
  return kFields;
}

template <>
absl::Span<const object_field<upstream_config>> FieldsOf() {
  using object = upstream_config;
  constexpr int kMaxSlots = 10'000;
  constexpr int kMaxPieces = 10'000'000;
  static constexpr object_field<object> kFields[] = {
      NameField<object, &object::pool>("pool", required),
      {"address", required, "an IP address and port such as 10.0.0.1:8000",
       SetText<object, &object::address, IsAddress>,
       GetText<object, &object::address>},
      NameField<object, &object::failure_domain>("domain", required),
      {"fencing", optional, "yes or no",
       SetYesNo<object, &object::checks_fencing>,
       GetYesNo<object, &object::checks_fencing>},
      {"slots", optional, "a whole number from 1 to 10000",
       SetWhole<object, &object::slots, 1, kMaxSlots>,
       GetWhole<object, &object::slots>},
      {"pieces", optional, "a whole number from 0 to 10000000",
       SetWhole<object, &object::pieces, 0, kMaxPieces>,
       GetWhole<object, &object::pieces>},
      {"draining", internal, "yes or no", SetYesNo<object, &object::draining>,
       GetYesNo<object, &object::draining>}};
  return kFields;
}

template <>
absl::Span<const object_field<route_config>> FieldsOf() {
  using object = route_config;
  constexpr absl::string_view kDelay = "a duration such as 900ms, up to 1h";
  static constexpr object_field<object> kFields[] = {
      {"path", optional, "a path prefix such as /ledger/",
       SetOptionalText<object, &object::path, IsPath>,
       GetText<object, &object::path>},
      NameField<object, &object::model>("model", optional),
      NameField<object, &object::prefill_pool>("prefill_pool", optional),
      NameField<object, &object::decode_pool>("decode_pool", optional),
      NameField<object, &object::service_pool>("service_pool", optional),
      {"objective", optional, "goodput or wasted_prefill",
       SetEnum<object, &object::objective>,
       GetEnum<object, &object::objective>},
      {"first_token", optional, kDelay,
       SetDelay<object, &object::first_token_target>,
       GetDelay<object, &object::first_token_target>},
      {"between_tokens", optional, kDelay,
       SetDelay<object, &object::token_target>,
       GetDelay<object, &object::token_target>},
      {"repeatable", optional,
       "methods separated by commas, such as GET,HEAD; empty for none",
       SetMethods, GetMethods}};
  return kFields;
}

template <>
absl::Span<const object_field<team_config>> FieldsOf() {
  using object = team_config;
  constexpr int kMaxWeight = 1000;
  constexpr int kMaxRate = 1'000'000;
  constexpr int kMaxPriority = 9;
  static constexpr object_field<object> kFields[] = {
      {"weight", optional, "a number above 0, up to 1000",
       SetNumber<object, &object::weight, kMaxWeight, true>,
       GetNumber<object, &object::weight>},
      {"rate", optional, "requests per second from 0 (no limit) to 1000000",
       SetNumber<object, &object::rate, kMaxRate, false>,
       GetNumber<object, &object::rate>},
      {"concurrency", optional, "a whole number from 0 (no limit) to 1000000",
       SetWhole<object, &object::concurrency, 0, kMaxRate>,
       GetWhole<object, &object::concurrency>},
      {"priority", optional, "a whole number from 0 to 9",
       SetWhole<object, &object::priority, 0, kMaxPriority>,
       GetWhole<object, &object::priority>}};
  return kFields;
}

template <>
absl::Span<const object_field<key_config>> FieldsOf() {
  using object = key_config;
  static constexpr object_field<object> kFields[] = {
      NameField<object, &object::team>("team", optional),
      {"sha256", required, "the 64 hexadecimal digits of a key's SHA-256",
       SetText<object, &object::sha256_hex, IsSha256>,
       GetText<object, &object::sha256_hex>},
      {"role", optional, "none, read, operate or administer",
       SetEnum<object, &object::role>, GetEnum<object, &object::role>}};
  return kFields;
}

template <>
absl::Span<const object_field<link_config>> FieldsOf() {
  using object = link_config;
  constexpr int kMaxRate = 1'000'000'000;
  static constexpr object_field<object> kFields[] = {
      NameField<object, &object::from_domain>("from", required),
      NameField<object, &object::to_domain>("to", required),
      {"pieces_per_second", required, "a number above 0, up to 1000000000",
       SetNumber<object, &object::pieces_per_second, kMaxRate, true>,
       GetNumber<object, &object::pieces_per_second>}};
  return kFields;
}

std::vector<field_rule> FieldRules(command_verb verb, object_kind kind) {
  if (verb == command_verb::load || verb == command_verb::unload) {
    return LoadRules();
  }
  if (verb == command_verb::role) return RoleRules();
  if (verb != command_verb::create && verb != command_verb::change) return {};
  if (kind == object_kind::request) return {};
  const config_state none;
  return WithObjects(none, kind, [](const auto& objects) {
    using mapped = typename std::decay_t<decltype(objects)>::mapped_type;
    return SettableFields<mapped>();
  });
}

bool IsFieldValue(command_verb verb, object_kind kind, absl::string_view name,
                  absl::string_view text) {
  if (verb == command_verb::load || verb == command_verb::unload) {
    return IsSafeId(text);
  }
  if (verb == command_verb::role) {
    return name == "role" ? EnumNamed<pool_role>(text).has_value()
                          : IsSafeId(text);
  }
  const config_state none;
  return WithObjects(none, kind, [&](const auto& objects) {
    using mapped = typename std::decay_t<decltype(objects)>::mapped_type;
    return IsSettable<mapped>(name, text);
  });
}

int64_t VersionOf(const config_state& state, object_kind kind,
                  absl::string_view name) {
  if (kind == object_kind::request) return 0;
  return WithObjects(state, kind, [&](const auto& objects) -> int64_t {
    const auto found = objects.find(std::string(name));
    return found == objects.end() ? 0 : found->second.version;
  });
}

}  // namespace anvilridge
