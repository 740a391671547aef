#include "daemon/load_wiring.h"

#include <QCborArray>
#include <QCborMap>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "daemon/control_state.h"

namespace anvilridge {
namespace {

constexpr char kLeavingMethod[] = "model_loads/leaving";
constexpr absl::Duration kLeavingTimeout = absl::Seconds(1);

QString Text(const std::string& text) { return QString::fromStdString(text); }

QCborMap Encode(const std::string& daemon, const name_set& engines) {
  QCborArray names;
  for (const std::string& name : engines) names.append(Text(name));
  return {{QLatin1String("daemon"), Text(daemon)},
          {QLatin1String("engines"), names}};
}

void TakeWord(leaving_engines& elsewhere, const QCborMap& message,
              absl::Time now) {
  const std::string daemon =
      message.value(QLatin1String("daemon")).toString().toStdString();
  leaving_word word;
  word.until = now + kLeavingLife;
  const QCborArray names = message.value(QLatin1String("engines")).toArray();
  for (const auto& name : names) {
    word.engines.insert(name.toString().toStdString());
    elsewhere.expected.erase(name.toString().toStdString());
  }
  if (word.engines.empty()) {
    elsewhere.said.erase(daemon);
  } else {
    elsewhere.said[daemon] = std::move(word);
  }
}

void TellOthers(control_state& state, const name_set& own, absl::Time now) {
  const std::string& self = state.membership.Self().daemon;
  for (const auto& [name, address] : state.peer_addresses) {
    if (name == self) continue;
    state.peers_out.Call(address, kLeavingMethod, Encode(self, own),
                         kLeavingTimeout, [](const auto&) {});
  }
  state.leaving_elsewhere.told = own;
  state.leaving_elsewhere.told_at = now;
}

// Whether the role order of `engine` is not in `before`.
bool HasNewRole(const upstream_config& engine, const config_state& before) {
  const auto known = before.upstreams.find(engine.name);
  if (known == before.upstreams.end()) return false;
  for (const upstream_order& order : engine.orders) {
    if (order.kind == order_kind::role && order.fence > known->second.version) {
      return true;
    }
  }
  return false;
}

}  // namespace

model_load_environment LoadEnvironment(control_state& state) {
  model_load_environment env;
  env.config = [&state] { return state.config.InForce(); };
  env.is_home = [&state](absl::string_view engine) {
    return !state.stopping && state.membership.IsLeaseValid() &&
           HomeAddress(state, engine).empty();
  };
  env.leaving_elsewhere = [&state](absl::string_view engine) {
    return LeavingAt(state.leaving_elsewhere, MonotonicNow()).contains(engine);
  };
  env.now = MonotonicNow;
  const endpoint& store = state.settings.platform.weight_store;
  if (store.port != 0) {
    env.weight_store = absl::StrCat(store.address, ":", store.port);
  }
  return env;
}

void RegisterLeavingHandler(control_state& state) {
  state.peers_in.Handle(
      kLeavingMethod,
      [&state](const QCborMap& message, const peer_responder& respond) {
        TakeWord(state.leaving_elsewhere, message, MonotonicNow());
        respond(QCborMap());
      });
}

void NoteRoleOrders(control_state& state,
                    const config_service::state_ptr& in_force) {
  const auto before = state.config_in_force.Get();
  if (!before) return;
  auto& expected = state.leaving_elsewhere.expected;
  const absl::Time now = MonotonicNow();
  std::erase_if(expected,
                [now](const auto& entry) { return entry.second <= now; });
  for (const auto& [name, engine] : in_force->upstreams) {
    if (HasNewRole(engine, *before)) expected[name] = now + kLeavingLife;
  }
}

void RunLoads(control_state& state) {
  state.loads.Tick();
  const absl::Time now = MonotonicNow();
  const name_set own = state.loads.Leaving();
  name_set all = LeavingAt(state.leaving_elsewhere, now);
  all.insert(own.begin(), own.end());
  state.under_order.Set(std::make_shared<const name_set>(std::move(all)));
  if (MustTell(state.leaving_elsewhere, own, now)) TellOthers(state, own, now);
}

}  // namespace anvilridge
