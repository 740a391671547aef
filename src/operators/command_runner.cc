#include "operators/command_runner.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "config/config_names.h"
#include "config/object_fields.h"
#include "operators/command_parser.h"
#include "operators/past_form.h"
#include "operators/query_tables.h"
#include "operators/time_words.h"

namespace anvilridge {
namespace {

size_t ColumnAt(const result_table& table, absl::string_view column) {
  const auto found =
      std::find(table.columns.begin(), table.columns.end(), column);
  return static_cast<size_t>(found - table.columns.begin());
}

bool Matches(const result_table& table, const std::vector<QJsonValue>& row,
             const row_filter& filter) {
  const std::string cell = CellText(row[ColumnAt(table, filter.column)]);
  return filter.contains ? absl::StrContains(cell, filter.value)
                         : cell == filter.value;
}

void KeepMatching(result_table& table, const row_filter& filter) {
  table.rows.erase(std::remove_if(table.rows.begin(), table.rows.end(),
                                  [&](const auto& row) {
                                    return !Matches(table, row, filter);
                                  }),
                   table.rows.end());
}

absl::StatusOr<result_table> Show(const operator_query& query,
                                  const operator_view& view,
                                  const principal& who) {
  const query_table* source = FindTable(query.table);
  if (!source) return MakeError(error_kind::not_found, "no such table");
  result_table table;
  table.name = query.table;
  table.columns = source->columns;
  source->fill(view, table);
  if (!who.team.empty()) {
    if (source->team_column.empty()) {
      return MakeError(error_kind::forbidden,
                       "a team's key sees the team's own rows only");
    }
    KeepMatching(table, {std::string(source->team_column), false, who.team});
  }
  for (const row_filter& filter : query.filters) KeepMatching(table, filter);
  return table;
}

// One row a field, for one object.
absl::StatusOr<result_table> ShowOne(const operator_query& query,
                                     const operator_view& view,
                                     const principal& who) {
  auto all = Show(query, view, who);
  if (!all.ok()) return all;
  KeepMatching(*all, {"name", false, query.name});
  if (all->rows.empty()) {
    return MakeError(error_kind::not_found,
                     absl::StrCat("there is no ", NameOf(*query.object), " \"",
                                  query.name, "\""));
  }
  result_table table{"fields", {"field", "value"}, {}, false};
  for (size_t i = 0; i < all->columns.size(); ++i) {
    table.rows.push_back({TextCell(all->columns[i]), all->rows.front()[i]});
  }
  return table;
}

bool IsAsked(const history_entry& entry, const operator_query& query,
             const principal& who) {
  if (query.since && entry.recorded < *query.since) return false;
  if (query.object && (entry.command.object != *query.object ||
                       entry.command.name != query.name)) {
    return false;
  }
  return who.team.empty() || TeamSees(entry, who.team);
}

result_table History(const operator_query& query, const operator_view& view,
                     const principal& who) {
  result_table table{"history",
                     {"time", "offset", "outcome", "author", "id", "text"},
                     {},
                     false};
  if (!view.config) return table;
  for (const auto& entry : view.config->history) {
    if (!IsAsked(*entry, query, who)) continue;
    table.rows.push_back(
        {TextCell(TimeText(entry->recorded)), NumberCell(entry->offset),
         TextCell(NameOf(entry->outcome)), TextCell(entry->command.author),
         TextCell(entry->command.id), TextCell(PastForm(*entry))});
  }
  const auto size = static_cast<int64_t>(table.rows.size());
  const int64_t keep = std::min(query.last.value_or(size), size);
  table.rows.erase(table.rows.begin(), table.rows.end() - keep);
  return table;
}

result_table Help(const operator_query& query) {
  result_table table{"help", {"form"}, {}, false};
  for (const auto& line : HelpLines(query.table)) {
    table.rows.push_back({TextCell(line)});
  }
  return table;
}

}  // namespace

absl::StatusOr<result_table> RunQuery(const operator_query& query,
                                      const operator_view& view,
                                      const principal& who) {
  if (auto check = CheckRole(who, operator_role::read); !check.ok()) {
    return check;
  }
  switch (query.kind) {
    case query_kind::show:
      return Show(query, view, who);
    case query_kind::show_one:
      return ShowOne(query, view, who);
    case query_kind::history:
      return History(query, view, who);
    case query_kind::handover:
      if (!who.team.empty()) {
        return MakeError(error_kind::forbidden, "handover is for operators");
      }
      return Handover(view, query.since.value_or(LastNoon(view.now)));
    case query_kind::follow:
      return MakeError(error_kind::malformed_command,
                       "follow is served at /api/v1/follow");
    case query_kind::help:
      break;
  }
  return Help(query);
}

void ResolveBaseVersion(operator_command& parsed, const config_state& config) {
  config_command& command = parsed.command;
  if (parsed.has_base_version || command.verb == command_verb::create) return;
  command.base_version = VersionOf(config, command.object, command.name);
}

bool TeamSees(const history_entry& entry, absl::string_view team) {
  if (entry.command.object == object_kind::team) {
    return entry.command.name == team;
  }
  return entry.command.object == object_kind::key &&
         FieldOf(entry.command, "team") == team;
}

}  // namespace anvilridge
