#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "config/apply_command.h"
#include "config/config_names.h"
#include "config/object_fields.h"
#include "operators/command_runner.h"

namespace anvilridge {
namespace {

void Add(result_table& table, absl::string_view what, absl::string_view name,
         absl::string_view effect) {
  table.rows.push_back({TextCell(what), TextCell(name), TextCell(effect)});
}

void AddVerdict(result_table& table, const absl::Status& check) {
  if (check.ok()) return Add(table, "verdict", "accepted", "");
  const bool contested = KindOf(check) == error_kind::config_contested;
  Add(table, "verdict", contested ? "contested" : "rejected",
      std::string(check.message()));
}

// Returns the present text of a field of the command's object; "" for none.
std::string PresentValue(const config_state& config,
                         const config_command& command,
                         absl::string_view field_name) {
  if (command.object == object_kind::request) return "";
  return WithObjects(config, command.object, [&](const auto& objects) {
    using object = typename std::decay_t<decltype(objects)>::mapped_type;
    const auto found = objects.find(command.name);
    if (found == objects.end()) return std::string();
    for (const auto& field : FieldsOf<object>()) {
      if (field.name == field_name) return field.get(found->second);
    }
    return std::string();
  });
}

void AddFields(result_table& table, const config_state& config,
               const config_command& command) {
  for (const field_value& field : command.fields) {
    const std::string before = PresentValue(config, command, field.name);
    Add(table, "field", field.name,
        absl::StrCat(before.empty() ? "(none)" : before, " -> ",
                     field.value.empty() ? "(empty)" : field.value));
  }
}

void AddRequests(result_table& table, const operator_view& view,
                 const std::string& upstream) {
  for (const request_row& request : view.requests) {
    if (request.upstream != upstream && request.prefill_upstream != upstream) {
      continue;
    }
    Add(table, "request", request.id,
        absl::StrCat("runs on ", upstream, " (", request.phase,
                     ") and finishes there"));
  }
}

void AddUpstream(result_table& table, const operator_view& view,
                 const config_command& command) {
  const auto found = view.config->upstreams.find(command.name);
  if (found == view.config->upstreams.end()) return;
  const bool takes_away = command.verb == command_verb::drain ||
                          command.verb == command_verb::role ||
                          command.verb == command_verb::remove;
  if (takes_away) {
    int others = 0;
    for (const auto& [name, other] : view.config->upstreams) {
      if (name != command.name && other.pool == found->second.pool &&
          !other.draining) {
        ++others;
      }
    }
    Add(table, "pool", found->second.pool,
        absl::StrCat("keeps ", others, " upstreams that take new work"));
  }
  AddRequests(table, view, command.name);
}

void AddPool(result_table& table, const config_state& config,
             const std::string& pool) {
  for (const auto& [name, upstream] : config.upstreams) {
    if (upstream.pool == pool) Add(table, "upstream", name, "is in this pool");
  }
  for (const auto& [name, route] : config.routes) {
    if (route.prefill_pool == pool || route.decode_pool == pool ||
        route.service_pool == pool) {
      Add(table, "route", name, "uses this pool");
    }
  }
}

void AddTeam(result_table& table, const operator_view& view,
             const std::string& team) {
  for (const auto& [name, key] : view.config->keys) {
    if (key.team == team) Add(table, "key", name, "belongs to this team");
  }
  for (const request_row& request : view.requests) {
    if (request.team == team) {
      Add(table, "request", request.id, "is the team's");
    }
  }
}

std::string CancelEffect(const request_row& request) {
  if (request.phase == "admission" || request.phase == "placement") {
    return "waits for a place; its caller is told that it did not run, unless "
           "an earlier attempt did";
  }
  if (request.phase == "service") {
    return absl::StrCat("was sent to ", request.upstream,
                        " and may have run; its caller is told `unknown`, and "
                        "its key stays used");
  }
  return absl::StrCat("is in ", request.phase, " at ", request.upstream,
                      " and is stopped there; its caller is told `unknown`");
}

void AddCancelled(result_table& table, const operator_view& view,
                  const std::string& id) {
  const auto found = std::find_if(
      view.requests.begin(), view.requests.end(),
      [&id](const request_row& request) { return request.id == id; });
  if (found == view.requests.end()) {
    return Add(table, "request", id,
               "is in progress at no daemon that answers");
  }
  Add(table, "request", id, CancelEffect(*found));
}

}  // namespace

result_table DryRun(const config_command& command, const operator_view& view) {
  result_table table{"dry_run", {"what", "name", "effect"}, {}, false};
  if (!view.config) {
    Add(table, "verdict", "rejected", "no configuration is in force yet");
    return table;
  }
  AddVerdict(table, CheckCommand(*view.config, command));
  AddFields(table, *view.config, command);
  if (command.object == object_kind::upstream) {
    AddUpstream(table, view, command);
  } else if (command.object == object_kind::pool) {
    AddPool(table, *view.config, command.name);
  } else if (command.object == object_kind::team) {
    AddTeam(table, view, command.name);
  } else if (command.object == object_kind::request) {
    AddCancelled(table, view, command.name);
  }
  return table;
}

}  // namespace anvilridge
