#include "config/config_command.h"

#include <QJsonArray>
#include <QString>
#include <algorithm>
#include <cmath>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/ids.h"
#include "config/config_names.h"
#include "config/object_fields.h"

namespace anvilridge {
namespace {

constexpr size_t kMaxReasonBytes = 500;
constexpr size_t kMaxValueBytes = 256;

absl::Status Invalid(absl::string_view detail) {
  return MakeError(error_kind::config_invalid, detail);
}

QString ToQt(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

absl::Status ReadText(const QJsonObject& json, const char* member,
                      std::string& text) {
  const QJsonValue value = json.value(QLatin1String(member));
  if (!value.isString()) {
    return Invalid(absl::StrCat(member, ": expected a string"));
  }
  text = value.toString().toStdString();
  return absl::OkStatus();
}

absl::Status ReadInteger(const QJsonObject& json, const char* member,
                         int64_t& number) {
  constexpr double kLargestExact = 9007199254740992.0;
  const double value = json.value(QLatin1String(member)).toDouble(std::nan(""));
  if (!(value >= 0 && value <= kLargestExact) || value != std::floor(value)) {
    return Invalid(absl::StrCat(member, ": expected a whole number from 0 up"));
  }
  number = static_cast<int64_t>(value);
  return absl::OkStatus();
}

template <typename E>
absl::Status ReadEnum(const QJsonObject& json, const char* member, E& value) {
  std::string text;
  if (auto read = ReadText(json, member, text); !read.ok()) return read;
  const auto named = EnumNamed<E>(text);
  if (!named) {
    return Invalid(absl::StrCat(member, ": expected ", AlternativesOf<E>(),
                                ", found \"", text, "\""));
  }
  value = *named;
  return absl::OkStatus();
}

absl::Status ReadFields(const QJsonObject& json,
                        std::vector<field_value>& fields) {
  const QJsonValue member = json.value(QLatin1String("fields"));
  if (!member.isObject()) return Invalid("fields: expected an object");
  const QJsonObject object = member.toObject();
  for (auto field = object.begin(); field != object.end(); ++field) {
    const std::string name = field.key().toStdString();
    if (!field.value().isString()) {
      return Invalid(absl::StrCat(name, ": expected a string"));
    }
    fields.push_back({name, field.value().toString().toStdString()});
  }
  return absl::OkStatus();
}

absl::Status CheckMembers(const QJsonObject& json) {
  static const QStringList kMembers = {"author", "base_version", "fields",
                                       "id",     "name",         "object",
                                       "reason", "time_ms",      "verb"};
  for (const QString& member : json.keys()) {
    if (!kMembers.contains(member)) {
      return Invalid(absl::StrCat(member.toStdString(), ": unknown member"));
    }
  }
  return absl::OkStatus();
}

// JSON keeps no order; a person reads the fields in that of their table.
void SortFields(config_command& command) {
  const auto rules = FieldRules(command.verb, command.object);
  const auto place = [&](const field_value& field) {
    return std::find_if(
        rules.begin(), rules.end(),
        [&](const field_rule& rule) { return rule.name == field.name; });
  };
  std::stable_sort(command.fields.begin(), command.fields.end(),
                   [&](const field_value& a, const field_value& b) {
                     return place(a) < place(b);
                   });
}

bool VerbTakes(command_verb verb, object_kind object) {
  switch (verb) {
    case command_verb::create:
    case command_verb::change:
    case command_verb::remove:
      return object != object_kind::request;
    case command_verb::cancel:
      return object == object_kind::request;
    default:
      return object == object_kind::upstream;
  }
}

absl::Status CheckField(const config_command& command,
                        const std::vector<field_rule>& rules,
                        const field_value& field) {
  const auto rule = std::find_if(
      rules.begin(), rules.end(),
      [&](const field_rule& known) { return known.name == field.name; });
  if (rule == rules.end()) {
    std::vector<absl::string_view> names;
    names.reserve(rules.size());
    for (const field_rule& known : rules) names.push_back(known.name);
    return Invalid(absl::StrCat(field.name, ": unknown field; expected ",
                                Alternatives(names)));
  }
  const bool proper =
      field.value.size() <= kMaxValueBytes &&
      IsFieldValue(command.verb, command.object, field.name, field.value);
  if (proper) return absl::OkStatus();
  return Invalid(absl::StrCat(field.name, ": expected ", rule->expected,
                              ", found \"", field.value, "\""));
}

absl::Status CheckFields(const config_command& command) {
  const auto rules = FieldRules(command.verb, command.object);
  for (const field_value& field : command.fields) {
    if (auto check = CheckField(command, rules, field); !check.ok()) {
      return check;
    }
    const auto same = [&](const field_value& other) {
      return other.name == field.name;
    };
    if (std::count_if(command.fields.begin(), command.fields.end(), same) > 1) {
      return Invalid(absl::StrCat(field.name, ": given twice"));
    }
  }
  if (command.verb == command_verb::change) {
    if (command.fields.empty()) return Invalid("change: expected a field");
    return absl::OkStatus();
  }
  for (const field_rule& rule : rules) {
    if (rule.use == field_use::required &&
        FieldOf(command, rule.name).empty()) {
      return Invalid(
          absl::StrCat(rule.name, ": missing; expected ", rule.expected));
    }
  }
  return absl::OkStatus();
}

}  // namespace

absl::string_view FieldOf(const config_command& command,
                          absl::string_view name) {
  for (const field_value& field : command.fields) {
    if (field.name == name) return field.value;
  }
  return "";
}

QJsonObject EncodeCommand(const config_command& command) {
  QJsonObject fields;
  for (const field_value& field : command.fields) {
    fields.insert(ToQt(field.name), ToQt(field.value));
  }
  return {{"id", ToQt(command.id)},
          {"author", ToQt(command.author)},
          {"reason", ToQt(command.reason)},
          {"time_ms", static_cast<double>(absl::ToUnixMillis(command.time))},
          {"verb", ToQt(NameOf(command.verb))},
          {"object", ToQt(NameOf(command.object))},
          {"name", ToQt(command.name)},
          {"base_version", static_cast<double>(command.base_version)},
          {"fields", fields}};
}

absl::StatusOr<config_command> DecodeCommand(const QJsonObject& json) {
  config_command command;
  int64_t time_ms = 0;
  absl::Status read = CheckMembers(json);
  read.Update(ReadText(json, "id", command.id));
  read.Update(ReadText(json, "author", command.author));
  read.Update(ReadText(json, "reason", command.reason));
  read.Update(ReadText(json, "name", command.name));
  read.Update(ReadInteger(json, "time_ms", time_ms));
  read.Update(ReadInteger(json, "base_version", command.base_version));
  read.Update(ReadEnum(json, "verb", command.verb));
  read.Update(ReadEnum(json, "object", command.object));
  read.Update(ReadFields(json, command.fields));
  if (!read.ok()) return read;
  command.time = absl::FromUnixMillis(time_ms);
  SortFields(command);
  if (auto check = CheckCommandForm(command); !check.ok()) return check;
  return command;
}

absl::Status CheckCommandForm(const config_command& command) {
  const auto named = [](absl::string_view member, absl::string_view value) {
    if (IsSafeId(value)) return absl::OkStatus();
    return Invalid(absl::StrCat(
        member, ": expected 1 to 64 letters, digits, -, _ or ., found \"",
        value, "\""));
  };
  absl::Status check = named("id", command.id);
  check.Update(named("author", command.author));
  check.Update(named("name", command.name));
  if (!check.ok()) return check;
  if (command.reason.empty() || command.reason.size() > kMaxReasonBytes) {
    return Invalid("reason: expected 1 to 500 bytes");
  }
  if (std::any_of(command.reason.begin(), command.reason.end(),
                  absl::ascii_iscntrl)) {
    return Invalid("reason: expected no control characters");
  }
  if (!VerbTakes(command.verb, command.object)) {
    return Invalid(absl::StrCat(NameOf(command.object), ": can't be used with ",
                                NameOf(command.verb)));
  }
  return CheckFields(command);
}

}  // namespace anvilridge
