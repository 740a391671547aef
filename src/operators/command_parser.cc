#include "operators/command_parser.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "base/ids.h"
#include "config/config_names.h"
#include "config/object_fields.h"

namespace anvilridge {
namespace {

constexpr absl::string_view kReason =
    "because \"REASON\", a quoted reason of up to 500 bytes";
constexpr size_t kMaxReasonBytes = 500;

bool IsTailWord(const command_word& word) {
  return !word.quoted && (word.text == "against" || word.text == "because");
}

std::string FieldNames(const std::vector<field_rule>& rules) {
  std::vector<absl::string_view> names;
  names.reserve(rules.size());
  for (const field_rule& rule : rules) names.push_back(rule.name);
  return absl::StrCat(Alternatives(names), " with =value, against or because");
}

// Takes one `name=value`.
void TakeField(word_reader& reader, const std::vector<field_rule>& rules,
               config_command& command) {
  const std::string text = reader.Peek()->text;
  const size_t equals = text.find('=');
  const std::string name = text.substr(0, equals);
  const auto rule =
      std::find_if(rules.begin(), rules.end(),
                   [&](const field_rule& known) { return known.name == name; });
  if (rule == rules.end() || equals == std::string::npos) {
    return reader.Fail(FieldNames(rules));
  }
  const std::string value = text.substr(equals + 1);
  if (!IsFieldValue(command.verb, command.object, name, value)) {
    return reader.Fail(rule->expected, equals + 1);
  }
  const auto same = [&](const field_value& field) {
    return field.name == name;
  };
  if (std::any_of(command.fields.begin(), command.fields.end(), same)) {
    return reader.Fail(absl::StrCat(name, " only once"));
  }
  command.fields.push_back({name, value});
  reader.Skip();
}

void TakeFields(word_reader& reader, config_command& command) {
  const auto rules = FieldRules(command.verb, command.object);
  while (reader.Peek() && !IsTailWord(*reader.Peek())) {
    TakeField(reader, rules, command);
  }
  if (command.verb == command_verb::change) {
    if (command.fields.empty()) reader.Fail(FieldNames(rules));
    return;
  }
  for (const field_rule& rule : rules) {
    if (rule.use == field_use::required &&
        FieldOf(command, rule.name).empty()) {
      reader.Fail(absl::StrCat(rule.name, "=VALUE, ", rule.expected));
    }
  }
}

// Takes `against VERSION` and `because "REASON"`, in any order.
void TakeTail(word_reader& reader, operator_command& parsed) {
  config_command& command = parsed.command;
  while (reader.Peek()) {
    if (!parsed.has_base_version && reader.TakeIf("against")) {
      command.base_version = reader.TakeNumber("a version such as 17");
      parsed.has_base_version = true;
    } else if (command.reason.empty() && reader.TakeIf("because")) {
      command.reason = reader.TakeQuoted("a quoted reason");
    } else {
      reader.Fail(command.reason.empty() ? "against or because"
                                         : "the end of the line");
    }
  }
  const std::string& reason = command.reason;
  if (reason.size() > kMaxReasonBytes ||
      std::any_of(reason.begin(), reason.end(), absl::ascii_iscntrl)) {
    reader.Fail("a reason of up to 500 bytes without control characters");
  }
  if (command.reason.empty() && !parsed.dry_run) reader.Fail(kReason);
}

void TakeUpstream(word_reader& reader, config_command& command) {
  command.object = object_kind::upstream;
  reader.Expect("upstream");
  command.name = reader.TakeName("the upstream's name");
}

// `role upstream NAME to ROLE pool=POOL`.
void TakeRole(word_reader& reader, config_command& command) {
  TakeUpstream(reader, command);
  reader.Expect("to");
  const pool_role role = reader.TakeEnum<pool_role>();
  command.fields.push_back({"role", std::string(NameOf(role))});
  TakeFields(reader, command);
}

// `load model M version V [adapter A] on upstream NAME`.
void TakeModel(word_reader& reader, config_command& command) {
  command.object = object_kind::upstream;
  reader.Expect("model");
  command.fields.push_back({"model", reader.TakeName("the model's name")});
  reader.Expect("version");
  command.fields.push_back({"version", reader.TakeName("the version")});
  if (reader.TakeIf("adapter")) {
    command.fields.push_back(
        {"adapter", reader.TakeName("the adapter's name")});
  }
  if (!reader.TakeIf("on")) reader.Fail("adapter NAME or on upstream NAME");
  TakeUpstream(reader, command);
}

void TakeObject(word_reader& reader, config_command& command) {
  const command_word* word = reader.Peek();
  if (word && word->text == "request") {
    return reader.Fail("pool, upstream, route, team, key or link");
  }
  command.object = reader.TakeEnum<object_kind>();
  command.name = reader.TakeName(
      absl::StrCat("the ", NameOf(command.object),
                   "'s name, 1 to 64 letters, digits, -, _ or ."));
}

operator_command ParseCommand(word_reader& reader) {
  operator_command parsed;
  if (reader.TakeIf("dry")) {
    reader.Expect("run");
    parsed.dry_run = true;
  }
  config_command& command = parsed.command;
  command.verb = reader.TakeEnum<command_verb>();
  if (reader.Error()) return parsed;
  switch (command.verb) {
    case command_verb::create:
    case command_verb::change:
      TakeObject(reader, command);
      if (!reader.Error()) TakeFields(reader, command);
      break;
    case command_verb::remove:
      TakeObject(reader, command);
      break;
    case command_verb::drain:
    case command_verb::undrain:
      TakeUpstream(reader, command);
      break;
    case command_verb::role:
      TakeRole(reader, command);
      break;
    case command_verb::load:
    case command_verb::unload:
      TakeModel(reader, command);
      break;
    case command_verb::cancel:
      command.object = object_kind::request;
      reader.Expect("request");
      command.name = reader.TakeName("the request's id");
      break;
  }
  TakeTail(reader, parsed);
  return parsed;
}

bool IsOneOf(absl::Span<const absl::string_view> words,
             absl::string_view word) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

std::string VerbAlternatives() {
  std::vector<absl::string_view> verbs(QueryVerbs().begin(),
                                       QueryVerbs().end());
  for (const auto& row : NamesOf(command_verb{})) verbs.push_back(row.name);
  verbs.push_back("dry run");
  return Alternatives(verbs);
}

}  // namespace

std::variant<operator_line, parse_error> ParseLine(absl::string_view line,
                                                   absl::Time now) {
  auto split = SplitWords(line);
  if (auto* error = std::get_if<parse_error>(&split)) return *error;
  const auto& words = std::get<std::vector<command_word>>(split);
  word_reader reader(words, line.size());
  const command_word* first = reader.Peek();
  const bool query = first && IsOneOf(QueryVerbs(), first->text);
  const bool command =
      first && (first->text == "dry" || EnumNamed<command_verb>(first->text));
  if (!query && !command) reader.Fail(VerbAlternatives());
  operator_line parsed;
  if (query) {
    parsed = ParseQuery(reader, now);
  } else {
    parsed = ParseCommand(reader);
  }
  if (reader.Error()) return *reader.Error();
  return parsed;
}

}  // namespace anvilridge
