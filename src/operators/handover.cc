#include "absl/strings/str_cat.h"
#include "config/config_names.h"
#include "operators/command_runner.h"
#include "operators/past_form.h"
#include "operators/time_words.h"

namespace anvilridge {
namespace {

// Adds a line about a command.
void AddLine(result_table& table, absl::string_view section, absl::Time time,
             absl::string_view author, absl::string_view text) {
  table.rows.push_back({TextCell(section), TextCell(TimeText(time)),
                        TextCell(author), TextCell(text)});
}

// Adds a line about how things stand.
void AddState(result_table& table, absl::string_view section,
              absl::string_view text) {
  table.rows.push_back(
      {TextCell(section), TextCell(""), TextCell(""), TextCell(text)});
}

void AddEntries(result_table& table, const config_state& config,
                absl::Time since, command_outcome outcome,
                absl::string_view section) {
  for (const auto& entry : config.history) {
    if (entry->recorded < since || entry->outcome != outcome) continue;
    AddLine(table, section, entry->recorded, entry->command.author,
            PastForm(*entry));
  }
}

// Who last drained an upstream and why, as far as the history goes back.
std::string DrainReason(const config_state& config,
                        const std::string& upstream) {
  for (auto entry = config.history.rbegin(); entry != config.history.rend();
       ++entry) {
    const config_command& command = (*entry)->command;
    if (command.verb == command_verb::drain && command.name == upstream &&
        (*entry)->outcome == command_outcome::accepted) {
      return absl::StrCat(" since ", TimeText((*entry)->recorded), ", ",
                          AskedText(command));
    }
  }
  return "";
}

void AddDraining(result_table& table, const operator_view& view) {
  for (const auto& [name, upstream] : view.config->upstreams) {
    if (!upstream.draining) continue;
    AddState(table, "draining",
             absl::StrCat("upstream ", name, " of pool ", upstream.pool,
                          DrainReason(*view.config, name)));
  }
}

bool Serves(const operator_view& view, const upstream_config& upstream) {
  if (upstream.draining) return false;
  for (const upstream_condition& condition : view.conditions) {
    if (condition.upstream == upstream.name) return false;
  }
  return true;
}

void AddPools(result_table& table, const operator_view& view) {
  for (const auto& [name, pool] : view.config->pools) {
    int all = 0;
    int serving = 0;
    for (const auto& [upstream_name, upstream] : view.config->upstreams) {
      if (upstream.pool != name) continue;
      ++all;
      if (Serves(view, upstream)) ++serving;
    }
    if (all > 0 && serving == all) continue;
    AddState(table, "below strength",
             absl::StrCat("pool ", name, " (", NameOf(pool.role),
                          "): ", serving, " of ", all, " upstreams serve"));
  }
}

void AddOrders(result_table& table, const operator_view& view) {
  for (const order_progress& order : view.orders) {
    if (order.state == "done") continue;
    AddState(table, "orders under way",
             absl::StrCat("upstream ", order.upstream, ", order ", order.fence,
                          ": ", order.state));
  }
}

}  // namespace

result_table Handover(const operator_view& view, absl::Time since) {
  result_table table{
      "handover", {"section", "time", "author", "text"}, {}, true};
  if (view.log_out) {
    AddState(table, "log",
             "the log service does not answer; no command can "
             "be accepted until it does");
  }
  for (const config_publisher& publisher : view.pending) {
    AddLine(table, "pending", publisher.command.time, publisher.command.author,
            PastForm(publisher));
  }
  if (!view.config) {
    AddState(table, "configuration", "none is in force yet");
    return table;
  }
  using o = command_outcome;
  AddEntries(table, *view.config, since, o::contested, "contested");
  AddEntries(table, *view.config, since, o::rejected, "rejected");
  AddEntries(table, *view.config, since, o::accepted,
             absl::StrCat("changed since ", TimeText(since)));
  AddDraining(table, view);
  AddPools(table, view);
  AddOrders(table, view);
  return table;
}

}  // namespace anvilridge
