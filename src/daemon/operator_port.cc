#include "daemon/operator_port.h"

#include <QTimer>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/event_loop.h"
#include "caller/caller_port.h"
#include "daemon/health_control.h"
#include "daemon/view_rows.h"
#include "operators/authenticate.h"
#include "operators/operator_api.h"

namespace anvilridge {
namespace {

// A daemon that doesn't answer within this time is left out of a view.
constexpr absl::Duration kRowsTimeout = absl::Milliseconds(500);
constexpr absl::Duration kKeepAliveInterval = absl::Seconds(15);

void AddConditions(operator_view& view, const published<name_set>& upstreams,
                   const char* condition) {
  const std::shared_ptr<const name_set> names = upstreams.Get();
  if (!names) return;
  for (const std::string& name : *names) {
    view.conditions.push_back({name, condition});
  }
}

void AddHealth(operator_view& view, const control_state& state) {
  const auto standings = state.standings.Get();
  if (!standings) return;
  for (const auto& [name, standing] : *standings) {
    view.health.push_back({name, HealthText(standing, MonotonicNow())});
  }
}

operator_view LocalView(const control_state& state) {
  operator_view view;
  view.now = WallNow();
  view.config = state.config.InForce();
  view.log_out = state.config.LogOut();
  view.members = state.membership.Members();
  view.pending = state.config.Pending();
  AddConditions(view, state.ejected, "ejected");
  AddConditions(view, state.leaving, "leaving");
  AddConditions(view, state.under_order, "under_order");
  AddHealth(view, state);
  AddRows(view, LocalRows(state));
  return view;
}

std::vector<std::string> OtherDaemons(const control_state& state) {
  std::vector<std::string> addresses;
  for (const auto& [name, address] : state.peer_addresses) {
    if (name != state.membership.Self().daemon) addresses.push_back(address);
  }
  return addresses;
}

using view_callback = std::function<void(operator_view)>;

// A view that waits for the rows of other daemons.
struct gathering {
  operator_view view;
  size_t missing = 0;
  view_callback done;
};

void GatherView(control_state& state, view_callback done) {
  auto gathered = std::make_shared<gathering>();
  gathered->view = LocalView(state);
  gathered->done = std::move(done);
  const std::vector<std::string> others = OtherDaemons(state);
  gathered->missing = others.size();
  if (others.empty()) return gathered->done(std::move(gathered->view));
  for (const std::string& address : others) {
    state.peers_out.Call(address, kViewRowsMethod, QCborMap(), kRowsTimeout,
                         [gathered](const absl::StatusOr<QCborMap>& answer) {
                           if (answer.ok()) {
                             AddRows(gathered->view, ParseViewRows(*answer));
                           }
                           if (--gathered->missing > 0) return;
                           gathered->done(std::move(gathered->view));
                         });
  }
}

operator_services ServicesOf(control_state& state) {
  operator_services services;
  services.view = [&state](view_callback done) {
    GatherView(state, std::move(done));
  };
  services.publish = [&state](config_command command, absl::Duration patience,
                              std::function<void(publish_result)> done) {
    state.config.Publish(std::move(command), patience, std::move(done));
  };
  services.status_of =
      [&state](
          const std::string& id,
          const std::function<void(absl::StatusOr<publish_result>)>& done) {
        done(state.config.StatusOf(id));
      };
  return services;
}

std::string BootstrapHash(const std::string& key) {
  return key.empty() ? "" : KeyHash(key);
}

}  // namespace

struct operator_port::impl {
  control_state& state;
  operator_api api;
  caller_port port;
  std::unique_ptr<QTimer> keep_alive;

  impl(control_state& control, const std::string& bootstrap_key)
      : state(control),
        api(ServicesOf(control), BootstrapHash(bootstrap_key)),
        port(control.settings.operators, control.settings.limits,
             {&control.context}) {
    port.SetMaxHeldBytes(control.settings.limits.max_held_bytes);
    state.config.OnChange([this](const config_service::state_ptr& in_force) {
      api.ConfigChanged(in_force);
    });
    state.peers_in.Handle(
        kViewRowsMethod,
        [this](const QCborMap&, const peer_responder& respond) {
          respond(ToCbor(LocalRows(state)));
        });
    keep_alive =
        RunEvery(kKeepAliveInterval, [this] { api.KeepFollowersAlive(); });
  }
};

operator_port::operator_port(control_state& state,
                             const std::string& bootstrap_key)
    : impl_(std::make_unique<impl>(state, bootstrap_key)) {}

operator_port::~operator_port() = default;

absl::Status operator_port::Listen() {
  return impl_->port.Listen([this](size_t) {
    return [this](const inbound_request& request,
                  const std::shared_ptr<inbound_exchange>& exchange) {
      impl_->api.Handle(request, exchange);
    };
  });
}

uint16_t operator_port::Port() const { return impl_->port.Port(); }

void operator_port::BeginStop() { impl_->api.EndFollowers(); }

}  // namespace anvilridge
