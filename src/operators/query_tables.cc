#include "operators/query_tables.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/types/span.h"
#include "config/config_names.h"
#include "config/object_fields.h"
#include "operators/past_form.h"
#include "operators/time_words.h"

namespace anvilridge {
namespace {

QJsonValue AgeCell(absl::Duration age) {
  return NumberCell(absl::ToInt64Milliseconds(age));
}

absl::string_view MemberStateName(member_state state) {
  switch (state) {
    case member_state::alive:
      return "alive";
    case member_state::suspect:
      return "suspect";
    case member_state::dead:
      return "dead";
    case member_state::left:
      return "left";
  }
  return "";
}

std::string ConditionOf(absl::Span<const upstream_condition> conditions,
                        absl::string_view upstream,
                        absl::string_view otherwise) {
  for (const upstream_condition& condition : conditions) {
    if (condition.upstream == upstream) return condition.state;
  }
  return std::string(otherwise);
}

std::string ProgressOf(const operator_view& view, absl::string_view upstream,
                       int64_t fence) {
  for (const order_progress& order : view.orders) {
    if (order.upstream == upstream && order.fence == fence) return order.state;
  }
  return "unknown";
}

// Columns and cells that tables of one kind have besides the fields.

template <typename T>
void AddRest(const operator_view&, const T&, std::vector<QJsonValue>&) {}

void AddRest(const operator_view& view, const upstream_config& upstream,
             std::vector<QJsonValue>& row) {
  row.push_back(
      TextCell(ConditionOf(view.conditions, upstream.name, "serving")));
  row.push_back(TextCell(ConditionOf(view.health, upstream.name, "ok")));
}

template <object_kind Kind>
void FillObjects(const operator_view& view, result_table& table) {
  if (!view.config) return;
  WithObjects(*view.config, Kind, [&](const auto& objects) {
    using object_type = typename std::decay_t<decltype(objects)>::mapped_type;
    for (const auto& [name, object] : objects) {
      std::vector<QJsonValue> row = {TextCell(name),
                                     NumberCell(object.version)};
      for (const auto& field : FieldsOf<object_type>()) {
        row.push_back(TextCell(field.get(object)));
      }
      AddRest(view, object, row);
      table.rows.push_back(std::move(row));
    }
  });
}

template <typename T, object_kind Kind>
query_table ObjectTable(absl::string_view name, absl::string_view team_column,
                        std::vector<std::string> more = {}) {
  query_table table{
      name, Kind, {"name", "version"}, FillObjects<Kind>, team_column};
  for (const auto& field : FieldsOf<T>()) {
    table.columns.emplace_back(field.name);
  }
  table.columns.insert(table.columns.end(), more.begin(), more.end());
  return table;
}

void FillDaemons(const operator_view& view, result_table& table) {
  for (const member& row : view.members) {
    table.rows.push_back(
        {TextCell(row.id.daemon), TextCell(absl::StrCat(row.id.incarnation)),
         TextCell(MemberStateName(row.state)), TextCell(row.failure_domain),
         TextCell(row.peer_address), NumberCell(row.config_offset)});
  }
}

void FillRequests(const operator_view& view, result_table& table) {
  for (const request_row& row : view.requests) {
    table.rows.push_back({TextCell(row.id), TextCell(row.team),
                          TextCell(row.route), TextCell(row.phase),
                          TextCell(row.prefill_upstream),
                          TextCell(row.upstream), NumberCell(row.pieces),
                          NumberCell(row.tokens), AgeCell(row.age)});
  }
}

void FillReservations(const operator_view& view, result_table& table) {
  for (const reservation_row& row : view.reservations) {
    table.rows.push_back({TextCell(row.request_id), TextCell(row.upstream),
                          TextCell(row.owner), NumberCell(row.pieces),
                          AgeCell(row.age)});
  }
}

void FillOrphans(const operator_view& view, result_table& table) {
  for (const orphan_row& row : view.orphans) {
    table.rows.push_back({TextCell(row.request_id), TextCell(row.upstream),
                          TextCell(row.owner), NumberCell(row.pieces),
                          TextCell(row.state), AgeCell(row.age)});
  }
}

void FillLoads(const operator_view& view, result_table& table) {
  if (!view.config) return;
  for (const auto& [name, upstream] : view.config->upstreams) {
    for (const upstream_order& order : upstream.orders) {
      const bool role = order.kind == order_kind::role;
      table.rows.push_back(
          {TextCell(name), TextCell(NameOf(order.kind)), TextCell(order.model),
           TextCell(order.model_version), TextCell(order.adapter),
           TextCell(role ? NameOf(order.role) : ""), NumberCell(order.fence),
           TextCell(ProgressOf(view, name, order.fence))});
    }
  }
}

void FillPending(const operator_view& view, result_table& table) {
  for (const config_publisher& row : view.pending) {
    table.rows.push_back(
        {TextCell(row.command.id), TextCell(TimeText(row.command.time)),
         TextCell(row.command.author), TextCell(CommandText(row.command)),
         TextCell(row.command.reason), TextCell(PublishDetail(row))});
  }
}

void FillContested(const operator_view& view, result_table& table) {
  if (!view.config) return;
  for (const auto& entry : view.config->history) {
    if (entry->outcome != command_outcome::contested) continue;
    table.rows.push_back(
        {TextCell(entry->command.id), TextCell(TimeText(entry->recorded)),
         TextCell(entry->command.author), TextCell(CommandText(entry->command)),
         TextCell(entry->command.reason), TextCell(entry->detail)});
  }
}

std::vector<query_table> MakeTables() {
  using k = object_kind;
  return {
      ObjectTable<pool_config, k::pool>("pools", ""),
      ObjectTable<upstream_config, k::upstream>("upstreams", "",
                                                {"state", "health"}),
      ObjectTable<route_config, k::route>("routes", ""),
      ObjectTable<team_config, k::team>("teams", "name"),
      ObjectTable<key_config, k::key>("keys", "team"),
      ObjectTable<link_config, k::link>("links", ""),
      {"daemons",
       std::nullopt,
       {"name", "incarnation", "state", "domain", "address", "config_offset"},
       FillDaemons,
       ""},
      {"requests",
       std::nullopt,
       {"id", "team", "route", "phase", "prefill_upstream", "upstream",
        "pieces", "tokens", "age_ms"},
       FillRequests,
       "team"},
      {"reservations",
       std::nullopt,
       {"request", "upstream", "owner", "pieces", "age_ms"},
       FillReservations,
       ""},
      {"orphans",
       std::nullopt,
       {"request", "upstream", "owner", "pieces", "state", "age_ms"},
       FillOrphans,
       ""},
      {"loads",
       std::nullopt,
       {"upstream", "order", "model", "version", "adapter", "role", "fence",
        "state"},
       FillLoads,
       ""},
      {"pending",
       std::nullopt,
       {"id", "time", "author", "command", "reason", "detail"},
       FillPending,
       ""},
      {"contested",
       std::nullopt,
       {"id", "time", "author", "command", "reason", "detail"},
       FillContested,
       ""},
  };
}

}  // namespace

const std::vector<query_table>& QueryTables() {
  static const auto& tables = *new std::vector<query_table>(MakeTables());
  return tables;
}

const query_table* FindTable(absl::string_view name) {
  for (const query_table& table : QueryTables()) {
    if (table.name == name) return &table;
  }
  return nullptr;
}

const query_table* TableOf(object_kind kind) {
  for (const query_table& table : QueryTables()) {
    if (table.object == kind) return &table;
  }
  return nullptr;
}

}  // namespace anvilridge
