#include "daemon/control_state.h"

#include <QCborMap>
#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "claims/claim_wiring.h"
#include "config/config_snapshot.h"
#include "config/packed_snapshot.h"
#include "daemon/health_control.h"
#include "daemon/load_wiring.h"
#include "daemon/orphan_control.h"
#include "daemon/quarantine_wiring.h"
#include "log/decision_log.h"
#include "membership/home_map.h"
#include "membership/member_table.h"

namespace anvilridge {
namespace {

constexpr char kSnapshotMethod[] = "config/snapshot";
constexpr QLatin1String kPackedSnapshot("packed");
constexpr absl::Duration kSnapshotTimeout = absl::Seconds(2);
constexpr absl::Duration kHealthInterval = absl::Milliseconds(250);
// Interval at which one other daemon is told the evidence of crashes.
constexpr absl::Duration kEvidenceInterval = absl::Seconds(1);
constexpr absl::Duration kLoadInterval = absl::Milliseconds(250);

std::string Address(const endpoint& where) {
  return absl::StrCat(where.address, ":", where.port);
}

config_peers PeersOf(control_state& state) {
  config_peers peers;
  peers.offsets = [&state] {
    std::vector<peer_offset> offsets;
    for (const member& peer : state.membership.Members()) {
      if (peer.id.daemon == state.membership.Self().daemon) continue;
      const bool live = peer.state == member_state::alive ||
                        peer.state == member_state::suspect;
      offsets.push_back({peer.peer_address, peer.config_offset, live});
    }
    return offsets;
  };
  peers.fetch_snapshot =
      [&state](const std::string& address,
               const std::function<void(absl::StatusOr<std::string>)>& done) {
        state.peers_out.Call(
            address, kSnapshotMethod, QCborMap(), kSnapshotTimeout,
            [done](absl::StatusOr<QCborMap> answer) {
              if (!answer.ok()) return done(answer.status());
              done(UnpackSnapshotText(
                  answer->value(kPackedSnapshot).toByteArray()));
            });
      };
  return peers;
}

engine_homes_environment HomesEnvironment(control_state& state) {
  engine_homes_environment env;
  env.config = [&state] { return state.config.InForce(); };
  env.is_home = [&state](absl::string_view engine) {
    return HomeAddress(state, engine).empty();
  };
  env.homes_version = [&state] { return state.running_version; };
  env.live_daemons = [&state] {
    return static_cast<int>(state.live_names.size());
  };
  env.last_daemon_loss = [&state] { return state.last_daemon_loss; };
  env.owner_is_live = [&state](absl::string_view owner) {
    const std::optional<owner_id> parsed = ParseOwner(owner);
    return parsed && state.membership.IsOwnerLive(*parsed) == true;
  };
  env.now = MonotonicNow;
  return env;
}

placer_environment PlacerEnvironment(control_state& state) {
  placer_environment env;
  env.config = [&state] { return state.config.InForce(); };
  env.home_address = [&state](absl::string_view engine) {
    return HomeAddress(state, engine);
  };
  env.owner = [&state] { return OwnerText(state.membership.Self()); };
  env.healthy = [&state](absl::string_view engine) {
    return TakesWork(state, engine);
  };
  env.health = [&state] { return state.standings.Get(); };
  env.now = MonotonicNow;
  env.policy = state.settings.placement.policy;
  env.client = &state.client;
  env.prefix_affinity = state.settings.placement.prefix_affinity;
  env.live_daemons = [&state] {
    return static_cast<int>(state.live_names.size());
  };
  return env;
}

team_admission_environment AdmissionEnvironment(control_state& state) {
  team_admission_environment env;
  env.config = [&state] { return state.config.InForce(); };
  env.home_address = [&state](absl::string_view team) {
    return HomeAddress(state, absl::StrCat("team:", team));
  };
  env.live_daemons = [&state] {
    return static_cast<int>(state.live_names.size());
  };
  env.owner = [&state] { return OwnerText(state.membership.Self()); };
  env.now = MonotonicNow;
  return env;
}

follow_limits FollowLimits(const daemon_settings& settings) {
  follow_limits limits;
  limits.log_retention = settings.platform.log_retention;
  return limits;
}

void PublishOwner(control_state& state) {
  state.owner.Set(
      std::make_shared<const std::string>(OwnerText(state.membership.Self())));
}

void PublishLeaving(control_state& state) {
  const auto config = state.config.InForce();
  if (!config) return;
  state.leaving.Set(std::make_shared<const name_set>(
      LeavingUpstreams(*config, state.vms.View(), MonotonicNow())));
}

void TakeVmList(control_state& state) {
  state.membership.SetListedAddresses(EntryPeerAddresses(state.vms.View()));
  PublishLeaving(state);
}

// Many daemons may ask for the same state at once, when the log is out.
QByteArray PackedSnapshot(control_state& state,
                          const std::shared_ptr<const config_state>& config) {
  if (state.packed_of != config) {
    state.packed_snapshot = PackSnapshotText(SnapshotText(*config));
    state.packed_of = config;
  }
  return state.packed_snapshot;
}

void ServeSnapshots(control_state& state) {
  state.peers_in.Handle(
      kSnapshotMethod,
      [&state](const QCborMap&, const peer_responder& respond) {
        const auto config = state.config.InForce();
        if (!config) {
          return respond(
              MakeError(error_kind::not_ready, "no configuration in force"));
        }
        respond(QCborMap{{kPackedSnapshot, PackedSnapshot(state, config)}});
      });
}

std::vector<running_daemon> RunningDaemons(const control_state& state) {
  std::vector<running_daemon> running;
  for (const member& daemon : state.membership.Members()) {
    if (!IsRunning(daemon.state)) continue;
    running.push_back({daemon.id, daemon.peer_address, daemon.leaving});
  }
  return running;
}

// Whether an incarnation that ran `before` does not run any more.
bool HasLost(const std::vector<running_daemon>& before,
             const std::vector<running_daemon>& now) {
  return std::any_of(before.begin(), before.end(), [&](const auto& daemon) {
    return std::none_of(now.begin(), now.end(), [&](const auto& still) {
      return still.id == daemon.id;
    });
  });
}

// The flows that this daemon serves end at once; the engines' homes see to
// those whose daemon does not.
void EndCancelledHere(control_state& state) {
  for (const auto& [id, until] : state.operator_cancelled.wanted) {
    CancelHere(state.requests, id);
  }
}

void NoteConfigOffsets(control_state& state) {
  const auto config = state.config.InForce();
  const int64_t in_force = config ? config->applied_offset : 0;
  int64_t latest = in_force;
  for (const member& daemon : state.membership.Members()) {
    if (IsRunning(daemon.state)) {
      latest = std::max<int64_t>(latest, daemon.config_offset);
    }
  }
  NoteOffsets(state.age_by_peers, in_force, latest, MonotonicNow());
}

}  // namespace

control_state::control_state(const daemon_settings& daemon, std::string key)
    : settings(daemon),
      deployment_key(std::move(key)),
      log(client, Address(daemon.platform.log)),
      peers_in(deployment_key),
      peers_out(deployment_key),
      membership(daemon.identity, daemon.peers, deployment_key),
      config(LogCallsOf(log), PeersOf(*this), FollowLimits(daemon)),
      homes(client, HomesEnvironment(*this)),
      places(peers_out, homes, PlacerEnvironment(*this)),
      cancels(client),
      claims(MakeClaimIo(log, peers_out, membership, &context),
             daemon.platform.log_appends_per_second),
      loads(client, LoadEnvironment(*this)),
      admission(peers_out, AdmissionEnvironment(*this)),
      vms(client, Address(daemon.platform.vm_list),
          [this] { TakeVmList(*this); }) {
  PublishOwner(*this);
  homes.RegisterPeerHandlers(peers_in);
  claims.RegisterPeerHandlers(peers_in);
  admission.RegisterPeerHandlers(peers_in);
  ServeSnapshots(*this);
  ServeHeldQuestions(*this);
  RegisterLeavingHandler(*this);
  ServeEvidence(*this);
  homes.AddListListener([this](const upstream_config& engine,
                               absl::Span<const engine_request> listed) {
    SweepOrphans(*this, engine, listed);
  });
  membership.OnChange([this] { UpdateMembers(*this); });
  membership.OnExpired([this](const owner_id& old_self) {
    LogEvent(log_level::warn, "incarnation_expired",
             {{"owner", QString::fromStdString(OwnerText(old_self))}});
    PublishOwner(*this);
  });
  config.OnChange([this](const config_service::state_ptr& in_force) {
    NoteRoleOrders(*this, in_force);
    TakeCancels(operator_cancelled, *in_force, MonotonicNow());
    EndCancelledHere(*this);
    config_in_force.Set(in_force);
    membership.SetConfigOffset(in_force->applied_offset);
    PublishLeaving(*this);
  });
  health_timer = RunEvery(kHealthInterval, [this] { PublishHealth(*this); });
  load_timer = RunEvery(kLoadInterval, [this] {
    RunLoads(*this);
    CancelForOperators(*this);
    NoteConfigOffsets(*this);
  });
  evidence_timer =
      RunEvery(kEvidenceInterval, [this] { ShareEvidence(*this); });
}

std::string HomeAddress(const control_state& state,
                        absl::string_view resource) {
  const absl::string_view home = HomeOf(resource, state.live_names);
  if (home.empty() || home == state.membership.Self().daemon) return "";
  const auto it = state.peer_addresses.find(home);
  return it == state.peer_addresses.end() ? "" : it->second;
}

void UpdateMembers(control_state& state) {
  state.config.PeersChanged();
  // Most changes are of configuration offsets, which move no home and end no
  // owner.
  std::vector<running_daemon> running = RunningDaemons(state);
  if (running == state.running) return;
  if (HasLost(state.running, running)) state.last_daemon_loss = MonotonicNow();
  state.running = std::move(running);
  ++state.running_version;
  state.live_names.clear();
  state.peer_addresses.clear();
  for (const member& daemon : state.membership.Live()) {
    state.live_names.push_back(daemon.id.daemon);
    state.peer_addresses[daemon.id.daemon] = daemon.peer_address;
  }
  state.claims.OnMembersChanged();
}

bool TakesWork(const control_state& state, absl::string_view upstream) {
  for (const published<name_set>* refused :
       {&state.ejected, &state.leaving, &state.under_order}) {
    const std::shared_ptr<const name_set> names = refused->Get();
    if (names && names->contains(upstream)) return false;
  }
  return true;
}

void CancelForOperators(control_state& state) {
  const auto config = state.config.InForce();
  if (!config || state.operator_cancelled.wanted.empty()) return;
  const absl::Time now = MonotonicNow();
  state.homes.ForEachDecodeReservation([&](absl::string_view engine,
                                           absl::string_view id,
                                           const decode_reservation& hold) {
    if (!IsCancelled(state.operator_cancelled, id, now)) return;
    const auto upstream = config->upstreams.find(engine);
    if (upstream == config->upstreams.end()) return;
    state.cancels.Cancel({std::string(id), hold.owner, std::string(engine),
                          upstream->second.address});
  });
}

absl::Duration ConfigAge(const control_state& state) {
  return std::max(state.config.LogOutFor(),
                  AgeOf(state.age_by_peers, MonotonicNow()));
}

}  // namespace anvilridge
