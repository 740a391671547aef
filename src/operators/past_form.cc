#include "operators/past_form.h"

#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "config/config_names.h"

namespace anvilridge {
namespace {

std::string ModelText(const config_command& command) {
  const auto adapter = FieldOf(command, "adapter");
  return absl::StrCat(
      NameOf(command.verb), " model ", FieldOf(command, "model"), " version ",
      FieldOf(command, "version"), adapter.empty() ? "" : " adapter ", adapter,
      " on upstream ", command.name);
}

std::string FieldsText(const config_command& command) {
  std::vector<std::string> fields;
  for (const field_value& field : command.fields) {
    // A hash says nothing to a person.
    const bool hash = field.name == "sha256";
    const std::string value =
        field.value.empty() ? "(empty)" : field.value.substr(0, hash ? 8 : 256);
    fields.push_back(absl::StrCat(field.name, " ", value, hash ? "…" : ""));
  }
  return absl::StrJoin(fields, ", ");
}

}  // namespace

std::string CommandText(const config_command& command) {
  switch (command.verb) {
    case command_verb::load:
    case command_verb::unload:
      return ModelText(command);
    case command_verb::role:
      return absl::StrCat("role upstream ", command.name, " to ",
                          FieldOf(command, "role"), " in pool ",
                          FieldOf(command, "pool"));
    default:
      break;
  }
  std::string object = absl::StrCat(NameOf(command.verb), " ",
                                    NameOf(command.object), " ", command.name);
  if (command.fields.empty()) return object;
  return absl::StrCat(object, ": ", FieldsText(command));
}

std::string AskedText(const config_command& command) {
  const std::string base = command.base_version == 0
                               ? "nothing"
                               : absl::StrCat(command.base_version);
  return absl::StrCat("asked by ", command.author, " against ", base,
                      ", because \"", command.reason, "\"");
}

std::string OutcomeText(const history_entry& entry) {
  return absl::StrCat(NameOf(entry.outcome), " at ", entry.offset,
                      entry.detail.empty() ? "" : ": ", entry.detail);
}

std::string PastForm(const history_entry& entry) {
  return absl::StrCat(CommandText(entry.command), " — ",
                      AskedText(entry.command), ": ", OutcomeText(entry));
}

std::string PastForm(const config_publisher& publisher) {
  return absl::StrCat(CommandText(publisher.command), " — ",
                      AskedText(publisher.command), ": ",
                      PublishStatusName(publisher), " as ",
                      publisher.command.id, ": ", PublishDetail(publisher));
}

}  // namespace anvilridge
