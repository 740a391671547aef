#include "daemon/thread_bridge.h"

#include <utility>

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "daemon/health_control.h"
#include "daemon/quarantine_wiring.h"

namespace anvilridge {
namespace {

// Wraps `done` so that it runs on `thread`.
template <typename T>
std::function<void(T)> OnThread(QObject* thread, std::function<void(T)> done) {
  return [thread, done = std::move(done)](T value) {
    PostTo(thread, [done, value = std::move(value)] { done(value); });
  };
}

std::function<void()> OnThread(QObject* thread, std::function<void()> done) {
  return [thread, done = std::move(done)] { PostTo(thread, done); };
}

void Admit(control_state& state, const active_request& request,
           const std::function<void(absl::Status)>& done,
           const std::function<void()>& cancelled) {
  if (state.stopping) {
    return done(
        MakeError(error_kind::shutting_down, "come back to another daemon"));
  }
  const auto config = state.config.InForce();
  if (!config) {
    return done(MakeError(error_kind::not_ready, "no configuration"));
  }
  const auto team = config->teams.find(request.team);
  if (team == config->teams.end()) {
    return done(
        MakeError(error_kind::unknown_credential, "the team was removed"));
  }
  state.admission.Enter(team->second, [&state, request, done,
                                       cancelled](const absl::Status& entered) {
    if (entered.ok()) {
      Note(state.requests, request, cancelled);
    }
    done(entered);
  });
}

void Leave(control_state& state, const std::string& request_id) {
  const std::string team = Remove(state.requests, request_id);
  if (!team.empty()) state.admission.Leave(team);
}

void Finish(control_state& state, const placement_outcome& outcome) {
  state.places.Finish(outcome);
  const std::string& prefill = outcome.prefill.name;
  const std::string& decode = outcome.decode.name;
  using r = call_result;
  // A transfer that stalled may be either engine's fault.
  if (outcome.transfer_stalled) ReportUpstream(state, prefill, r::stalled);
  if (outcome.prefilled && !outcome.transfer_stalled) {
    ReportUpstream(state, prefill, r::ok);
  }
  if (outcome.prefill_failed) {
    ReportUpstream(state, prefill, outcome.stalled ? r::stalled : r::failed);
  }
  if (outcome.decode_finished) ReportUpstream(state, decode, r::ok);
  if (outcome.decode_failed) {
    ReportUpstream(state, decode, outcome.stalled ? r::stalled : r::failed);
  }
}

void AddAdmission(request_services& services, control_state& state,
                  QObject* thread) {
  services.admit = [&state, thread](const active_request& request,
                                    std::function<void(absl::Status)> done,
                                    std::function<void()> cancelled) {
    PostTo(&state.context,
           [&state, request, done = OnThread(thread, std::move(done)),
            cancelled = OnThread(thread, std::move(cancelled))] {
             Admit(state, request, done, cancelled);
           });
  };
  services.update = [&state](const active_request& request) {
    PostTo(&state.context,
           [&state, request] { Change(state.requests, request); });
  };
  services.leave = [&state](const std::string& request_id) {
    PostTo(&state.context, [&state, request_id] { Leave(state, request_id); });
  };
}

void AddPlacement(request_services& services, control_state& state,
                  QObject* thread) {
  services.place =
      [&state, thread](
          const placement_request& request,
          std::function<void(absl::StatusOr<placement_grant>)> done) {
        PostTo(&state.context,
               [&state, request, done = OnThread(thread, std::move(done))] {
                 state.places.Place(request, done);
               });
      };
  services.abandon = [&state](const std::string& request_id) {
    PostTo(&state.context,
           [&state, request_id] { state.places.Abandon(request_id); });
  };
  services.finish = [&state](const placement_outcome& outcome) {
    PostTo(&state.context, [&state, outcome] { Finish(state, outcome); });
  };
  services.cancel = [&state](const engine_cancel& cancel) {
    PostTo(&state.context, [&state, cancel] {
      // Its caller came back to this daemon: a later request goes on with it.
      if (CountServedBy(state.requests, cancel.request_id) > 1) return;
      state.cancels.Cancel(cancel);
    });
  };
}

void AddClaims(request_services& services, control_state& state,
               QObject* thread) {
  services.claim = [&state, thread](
                       const claim_request& request,
                       std::function<void(absl::StatusOr<claim_result>)> done) {
    PostTo(&state.context,
           [&state, request, done = OnThread(thread, std::move(done))] {
             state.claims.Claim(request, done);
           });
  };
  services.settle = [&state](const std::string& claim_id,
                             const claim_outcome& outcome) {
    PostTo(&state.context, [&state, claim_id, outcome] {
      state.claims.Settle(claim_id, outcome);
    });
  };
  services.release = [&state](const std::string& claim_id) {
    PostTo(&state.context,
           [&state, claim_id] { state.claims.Release(claim_id); });
  };
  services.leave_unknown = [&state](const std::string& claim_id) {
    PostTo(&state.context,
           [&state, claim_id] { state.claims.LeaveUnknown(claim_id); });
  };
}

void AddIdentity(request_services& services, control_state& state) {
  services.config = [&state] { return state.config_in_force.Get(); };
  services.owner = [&state] { return *state.owner.Get(); };
  services.may_act = [&state](const std::string& owner) {
    return state.membership.IsLeaseValid() && *state.owner.Get() == owner;
  };
  services.healthy = [&state](absl::string_view upstream) {
    return TakesWork(state, upstream);
  };
  services.health = [&state] { return state.standings.Get(); };
  services.report = [&state](absl::string_view upstream, call_result result) {
    PostTo(&state.context, [&state, name = std::string(upstream), result] {
      ReportUpstream(state, name, result);
    });
  };
  services.retries = state.settings.retries;
  services.deployment_key = state.deployment_key;
}

}  // namespace

request_services MakeRequestServices(control_state& state, QObject* thread) {
  request_services services;
  AddIdentity(services, state);
  AddAdmission(services, state, thread);
  AddPlacement(services, state, thread);
  AddClaims(services, state, thread);
  AddQuarantine(services, state);
  return services;
}

}  // namespace anvilridge
