#include "daemon/control_plane.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "daemon/control_metrics.h"
#include "daemon/control_state.h"
#include "daemon/operator_port.h"
#include "daemon/quarantine_wiring.h"
#include "daemon/thread_bridge.h"

namespace anvilridge {

struct control_plane::impl {
  control_state state;
  operator_port operators;
  request_metrics metrics;

  impl(const daemon_settings& settings, std::string key,
       const std::string& administrator_key, request_metrics reports)
      : state(settings, std::move(key)),
        operators(state, administrator_key),
        metrics(std::move(reports)) {}
};

control_plane::control_plane(const daemon_settings& settings,
                             std::string deployment_key,
                             const std::string& administrator_key,
                             request_metrics metrics)
    : impl_(std::make_unique<impl>(settings, std::move(deployment_key),
                                   administrator_key, std::move(metrics))) {}

control_plane::~control_plane() = default;

absl::Status control_plane::Start() {
  control_state& state = impl_->state;
  const endpoint& listen = state.settings.peer.listen;
  if (absl::Status bound = state.peers_in.Listen(listen); !bound.ok()) {
    return bound;
  }
  const std::string address =
      absl::StrCat(listen.address, ":", state.peers_in.Port());
  if (absl::Status joined = state.membership.Start(address); !joined.ok()) {
    return joined;
  }
  UpdateMembers(state);
  state.config.Start();
  state.vms.Start();
  return impl_->operators.Listen();
}

request_services control_plane::ServicesFor(QObject* thread) {
  request_services services = MakeRequestServices(impl_->state, thread);
  services.metrics = impl_->metrics;
  return services;
}

std::string control_plane::QuarantineText() const {
  const auto known = impl_->state.quarantine_known.Get();
  return anvilridge::QuarantineText(known ? *known : quarantine_report(),
                                    MonotonicNow());
}

bool control_plane::LiftQuarantine(absl::string_view name) {
  const auto known = impl_->state.quarantine_known.Get();
  const prompt_part part = PromptPartNamed(name);
  if (!known || !IsQuarantined(*known, part)) return false;
  anvilridge::LiftQuarantine(impl_->state, part);
  return true;
}

absl::Status control_plane::Ready() const {
  const control_state& state = impl_->state;
  if (state.stopping) {
    return MakeError(error_kind::shutting_down, "a stop is in progress");
  }
  if (!state.config.InForce()) {
    return MakeError(error_kind::not_ready, "no configuration in force yet");
  }
  if (!state.membership.IsLeaseValid()) {
    return MakeError(error_kind::lease_lost, "paused past the lease");
  }
  return absl::OkStatus();
}

uint16_t control_plane::PeerPort() const {
  return impl_->state.peers_in.Port();
}

uint16_t control_plane::OperatorPort() const { return impl_->operators.Port(); }

size_t control_plane::CancelsPending() const {
  return impl_->state.cancels.Pending();
}

bool control_plane::RecordsWritten() const {
  return impl_->state.claims.UnwrittenRecords() == 0;
}

int control_plane::RequestsInProgress() const {
  return static_cast<int>(impl_->state.requests.active.size());
}

void control_plane::UpdateMetrics(metrics_registry& to) const {
  UpdateControlMetrics(impl_->state, to);
}

void control_plane::BeginStop() {
  impl_->state.stopping = true;
  impl_->state.membership.Leave();
  UpdateMembers(impl_->state);
  impl_->operators.BeginStop();
}

}  // namespace anvilridge
