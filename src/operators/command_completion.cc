#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "config/config_names.h"
#include "config/object_fields.h"
#include "operators/command_parser.h"
#include "operators/query_tables.h"

namespace anvilridge {
namespace {

using words = std::vector<std::string>;

template <typename E>
words NamesIn() {
  words names;
  for (const auto& row : NamesOf(E{})) names.emplace_back(row.name);
  return names;
}

words ObjectKinds() {
  words names = NamesIn<object_kind>();
  names.pop_back();
  return names;
}

words FirstWords() {
  words names(QueryVerbs().begin(), QueryVerbs().end());
  for (auto& verb : NamesIn<command_verb>()) names.push_back(std::move(verb));
  names.emplace_back("dry");
  return names;
}

words AfterShow(const words& before) {
  if (before.size() == 1) {
    words names = ObjectKinds();
    for (const auto& table : QueryTables()) names.emplace_back(table.name);
    return names;
  }
  const query_table* table = FindTable(before[1]);
  if (!table) return {};
  if (before.size() == 2) return {"where"};
  if (before.back() != "where" && before.back() != "and") return {"and"};
  words columns;
  for (const auto& column : table->columns) columns.push_back(column + "=");
  return columns;
}

// Fields of an object that are not given yet, and the tail words.
words AfterObject(const words& before) {
  words names = {"against", "because"};
  const auto verb = EnumNamed<command_verb>(before[0]);
  const auto kind = EnumNamed<object_kind>(before[1]);
  if (!verb || !kind) return names;
  for (const field_rule& rule : FieldRules(*verb, *kind)) {
    const std::string prefix = absl::StrCat(rule.name, "=");
    const bool given = std::any_of(
        before.begin(), before.end(),
        [&](const auto& word) { return absl::StartsWith(word, prefix); });
    if (!given) names.push_back(prefix);
  }
  return names;
}

words AfterModel(const words& before) {
  if (before.back() == "on") return {"upstream"};
  if (before.size() == 1) return {"model"};
  if (before.size() == 3) return {"version"};
  if (before.size() == 5) return {"adapter", "on"};
  if (before.size() == 7 && before[5] == "adapter") return {"on"};
  return {"against", "because"};
}

words AfterCommand(const words& before) {
  const std::string& verb = before[0];
  if (verb == "load" || verb == "unload") return AfterModel(before);
  if (verb == "cancel") {
    return before.size() == 1 ? words{"request"} : words{"because"};
  }
  if (before.size() == 1) {
    const bool any = verb == "create" || verb == "change" || verb == "remove";
    return any ? ObjectKinds() : words{"upstream"};
  }
  if (before.size() == 2) return {};
  if (verb == "role" && before.size() == 3) return {"to"};
  if (verb == "role" && before.size() == 4) return NamesIn<pool_role>();
  return AfterObject(before);
}

words NextWords(words before) {
  if (before.empty()) return FirstWords();
  if (before[0] == "dry") {
    if (before.size() == 1) return {"run"};
    before.erase(before.begin(), before.begin() + 2);
    return before.empty() ? NamesIn<command_verb>() : NextWords(before);
  }
  if (before[0] == "show") return AfterShow(before);
  if (before[0] == "history") return {"of", "since", "last"};
  if (before[0] == "handover") return {"since"};
  if (before[0] == "help") return FirstWords();
  if (!EnumNamed<command_verb>(before[0])) return {};
  return AfterCommand(before);
}

}  // namespace

std::vector<std::string> CompleteLine(absl::string_view line) {
  const auto split = SplitWords(line);
  const auto* parsed = std::get_if<std::vector<command_word>>(&split);
  if (!parsed) return {};
  words before;
  for (const command_word& word : *parsed) before.push_back(word.text);
  std::string begun;
  if (!line.empty() && !absl::ascii_isspace(line.back())) {
    begun = before.back();
    before.pop_back();
  }
  words next = NextWords(before);
  next.erase(std::remove_if(next.begin(), next.end(),
                            [&](const std::string& word) {
                              return !absl::StartsWith(word, begun);
                            }),
             next.end());
  return next;
}

}  // namespace anvilridge
