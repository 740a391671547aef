#include "config/apply_command.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/ids.h"
#include "config/check_references.h"
#include "config/config_names.h"
#include "config/object_fields.h"

namespace anvilridge {
namespace {

absl::Status Invalid(absl::string_view detail) {
  return MakeError(error_kind::config_invalid, detail);
}

absl::Status CheckVersion(const config_state& state,
                          const config_command& command) {
  if (command.object == object_kind::request) return absl::OkStatus();
  const int64_t current = VersionOf(state, command.object, command.name);
  if (current == command.base_version) return absl::OkStatus();
  const std::string object =
      absl::StrCat(NameOf(command.object), " ", command.name);
  if (current == 0) {
    return MakeError(error_kind::config_contested,
                     absl::StrCat(object,
                                  " does not exist; the command was written "
                                  "against version ",
                                  command.base_version));
  }
  if (command.base_version == 0) {
    return MakeError(
        error_kind::config_contested,
        absl::StrCat(object, " already exists at version ", current));
  }
  return MakeError(error_kind::config_contested,
                   absl::StrCat(object, " is at version ", current,
                                "; the command was written against version ",
                                command.base_version));
}

// Sets the fields of `command`, whose form has been checked.
template <typename T>
void SetFields(T& object, const config_command& command) {
  for (const field_value& given : command.fields) {
    for (const auto& field : FieldsOf<T>()) {
      if (field.name == given.name) field.set(object, given.value);
    }
  }
}

// Puts `object` in place of its former version if it fits the rest.
template <typename T, typename Objects>
absl::Status Replace(config_state& state, Objects& objects, T object) {
  const std::string name = object.name;
  auto [place, inserted] = objects.try_emplace(name);
  T former = std::exchange(place->second, std::move(object));
  absl::Status check = CheckObject(state, place->second);
  if (check.ok()) return check;
  if (inserted) {
    objects.erase(place);
  } else {
    place->second = std::move(former);
  }
  return check;
}

absl::Status Create(config_state& state, const config_command& command,
                    int64_t offset) {
  return WithObjects(state, command.object, [&](auto& objects) {
    typename std::decay_t<decltype(objects)>::mapped_type object;
    object.name = command.name;
    object.version = offset;
    SetFields(object, command);
    return Replace(state, objects, object);
  });
}

absl::Status Change(config_state& state, const config_command& command,
                    int64_t offset) {
  return WithObjects(state, command.object, [&](auto& objects) {
    auto object = objects.find(command.name)->second;
    object.version = offset;
    SetFields(object, command);
    return Replace(state, objects, object);
  });
}

absl::Status Remove(config_state& state, const config_command& command) {
  absl::Status check = CheckUnused(state, command.object, command.name);
  if (!check.ok()) return check;
  WithObjects(state, command.object,
              [&](auto& objects) { objects.erase(command.name); });
  return check;
}

void GiveOrder(upstream_config& upstream, const upstream_order& order) {
  const auto same_subject = [&](const upstream_order& known) {
    if ((known.kind == order_kind::role) != (order.kind == order_kind::role)) {
      return false;
    }
    return known.model == order.model && known.adapter == order.adapter;
  };
  auto& orders = upstream.orders;
  orders.erase(std::remove_if(orders.begin(), orders.end(), same_subject),
               orders.end());
  orders.push_back(order);
  if (orders.size() > kMaxOrdersPerUpstream) orders.erase(orders.begin());
}

absl::Status ChangeRole(const config_state& state, upstream_config& upstream,
                        const config_command& command, int64_t offset) {
  const pool_role role =
      EnumNamed<pool_role>(FieldOf(command, "role")).value_or(pool_role{});
  upstream.pool = std::string(FieldOf(command, "pool"));
  const auto pool = state.pools.find(upstream.pool);
  if (pool != state.pools.end() && pool->second.role != role) {
    return Invalid(absl::StrCat("pool: pool \"", upstream.pool,
                                "\" has the role ", NameOf(pool->second.role),
                                ", expected ", NameOf(role)));
  }
  upstream_order order;
  order.kind = order_kind::role;
  order.role = role;
  order.fence = offset;
  GiveOrder(upstream, order);
  return absl::OkStatus();
}

absl::Status OrderModel(const config_state& state, upstream_config& upstream,
                        const config_command& command, int64_t offset) {
  const auto pool = state.pools.find(upstream.pool);
  if (pool != state.pools.end() && pool->second.role == pool_role::service) {
    return Invalid(
        absl::StrCat(upstream.name, ": a plain service loads no models"));
  }
  upstream_order order;
  order.kind = command.verb == command_verb::load ? order_kind::load
                                                  : order_kind::unload;
  order.model = std::string(FieldOf(command, "model"));
  order.model_version = std::string(FieldOf(command, "version"));
  order.adapter = std::string(FieldOf(command, "adapter"));
  order.fence = offset;
  GiveOrder(upstream, order);
  return absl::OkStatus();
}

// Applies a verb that only upstreams have.
absl::Status OperateUpstream(config_state& state, const config_command& command,
                             int64_t offset) {
  upstream_config upstream = state.upstreams.find(command.name)->second;
  upstream.version = offset;
  absl::Status done;
  switch (command.verb) {
    case command_verb::drain:
      upstream.draining = true;
      break;
    case command_verb::undrain:
      upstream.draining = false;
      break;
    case command_verb::role:
      done = ChangeRole(state, upstream, command, offset);
      break;
    default:
      done = OrderModel(state, upstream, command, offset);
  }
  if (!done.ok()) return done;
  return Replace(state, state.upstreams, std::move(upstream));
}

absl::Status CancelRequest(config_state& state, const config_command& command,
                           int64_t offset) {
  state.cancels.push_back({command.name, offset});
  if (state.cancels.size() > kMaxRequestCancels) {
    state.cancels.erase(state.cancels.begin());
  }
  return absl::OkStatus();
}

// Changes the objects of `state`, or returns why not and changes nothing.
absl::Status Perform(config_state& state, const config_command& command,
                     int64_t offset) {
  if (auto check = CheckCommandForm(command); !check.ok()) return check;
  if (auto check = CheckVersion(state, command); !check.ok()) return check;
  if (command.verb == command_verb::create) {
    return Create(state, command, offset);
  }
  if (command.verb == command_verb::cancel) {
    return CancelRequest(state, command, offset);
  }
  if (command.base_version == 0) {
    return Invalid(absl::StrCat(command.name, ": there is no such ",
                                NameOf(command.object)));
  }
  if (command.verb == command_verb::change) {
    return Change(state, command, offset);
  }
  if (command.verb == command_verb::remove) return Remove(state, command);
  return OperateUpstream(state, command, offset);
}

void Remember(config_state& state, history_entry entry) {
  state.history.push_back(
      std::make_shared<const history_entry>(std::move(entry)));
  if (state.history.size() > kMaxHistory) state.history.pop_front();
}

// Returns a placeholder for a record that is no command.
config_command UnreadableCommand(const log_record& record) {
  config_command command;
  command.id = IsSafeId(record.id) ? record.id : "unreadable";
  command.author = "unknown";
  command.reason = "unreadable record";
  command.name = "unknown";
  command.time = absl::FromUnixMillis(absl::ToUnixMillis(record.time));
  return command;
}

}  // namespace

apply_effect ApplyRecord(config_state& state, const log_record& record) {
  if (record.offset <= state.applied_offset) {
    return apply_effect::already_applied;
  }
  if (record.offset != state.applied_offset + 1) return apply_effect::gap;
  state.applied_offset = record.offset;
  history_entry entry;
  entry.offset = record.offset;
  entry.recorded = absl::FromUnixMillis(absl::ToUnixMillis(record.time));
  auto command = DecodeCommand(record.data.toObject());
  absl::Status done = command.status();
  entry.command =
      command.ok() ? *std::move(command) : UnreadableCommand(record);
  if (HistoryOf(state, entry.command.id)) return apply_effect::duplicate;
  if (done.ok() && entry.recorded - entry.command.time > kCommandLife) {
    done = Invalid("the command reached the log too late");
  }
  if (done.ok()) done = Perform(state, entry.command, record.offset);
  if (!done.ok()) {
    entry.outcome = KindOf(done) == error_kind::config_contested
                        ? command_outcome::contested
                        : command_outcome::rejected;
    entry.detail = std::string(done.message());
  }
  Remember(state, std::move(entry));
  return apply_effect::recorded;
}

absl::Status CheckCommand(const config_state& state,
                          const config_command& command) {
  config_state scratch = state;
  return Perform(scratch, command, state.applied_offset + 1);
}

std::shared_ptr<const history_entry> HistoryOf(const config_state& state,
                                               absl::string_view command_id) {
  const auto found = std::find_if(
      state.history.rbegin(), state.history.rend(),
      [&](const auto& entry) { return entry->command.id == command_id; });
  return found == state.history.rend() ? nullptr : *found;
}

}  // namespace anvilridge
