#include "daemon/control_state.h"

#include <QCborMap>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "config/config_snapshot.h"
#include "log/decision_log.h"
#include "membership/home_map.h"

namespace anvilridge {
namespace {

constexpr char kSnapshotMethod[] = "config/snapshot";
constexpr absl::Duration kSnapshotTimeout = absl::Seconds(2);
constexpr absl::Duration kHealthInterval = absl::Milliseconds(250);

std::string Address(const endpoint& where) {
  return absl::StrCat(where.address, ":", where.port);
}

config_peers PeersOf(control_state& state) {
  config_peers peers;
  peers.offsets = [&state] {
    std::vector<peer_offset> offsets;
    for (const member& peer : state.membership.Members()) {
      if (peer.id.daemon == state.membership.Self().daemon) continue;
      const bool live = peer.state == member_state::alive;
      offsets.push_back({peer.peer_address, peer.config_offset, live});
    }
    return offsets;
  };
  peers.fetch_snapshot =
      [&state](const std::string& address,
               std::function<void(absl::StatusOr<std::string>)> done) {
        state.peers_out.Call(address, kSnapshotMethod, QCborMap(),
                             kSnapshotTimeout,
                             [done](absl::StatusOr<QCborMap> answer) {
                               if (!answer.ok()) return done(answer.status());
                               done(answer->value(QLatin1String("snapshot"))
                                        .toString()
                                        .toStdString());
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
    const auto ejected = state.ejected.Get();
    return !ejected || !ejected->contains(engine);
  };
  env.now = MonotonicNow;
  env.policy = state.settings.placement.policy;
  env.client = &state.client;
  return env;
}

claim_io ClaimIo(control_state& state) {
  claim_io io;
  io.append = [&state](const std::string& stream,
                       const std::vector<log_append>& records,
                       std::function<void(absl::StatusOr<int64_t>)> done) {
    state.log.Append(stream, records, std::move(done));
  };
  io.read = [&state](const std::string& stream, int64_t from, int limit,
                     std::function<void(absl::StatusOr<log_page>)> done) {
    state.log.Read(stream, from, limit, absl::ZeroDuration(), std::move(done));
  };
  io.call = [&state](const std::string& address, const std::string& method,
                     const QCborMap& request, absl::Duration timeout,
                     std::function<void(absl::StatusOr<QCborMap>)> done) {
    state.peers_out.Call(address, method, request, timeout, std::move(done));
  };
  io.live = [&state] { return state.membership.Live(); };
  io.self = [&state] { return state.membership.Self(); };
  io.now = MonotonicNow;
  io.wall_now = WallNow;
  io.run_after = [&state](absl::Duration delay, std::function<void()> task) {
    RunAfter(&state.context, delay, std::move(task));
  };
  return io;
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

void ServeSnapshots(control_state& state) {
  state.peers_in.Handle(
      kSnapshotMethod, [&state](const QCborMap&, peer_responder respond) {
        const auto config = state.config.InForce();
        if (!config) {
          return respond(
              MakeError(error_kind::not_ready, "no configuration in force"));
        }
        respond(QCborMap{{QLatin1String("snapshot"),
                          QString::fromStdString(SnapshotText(*config))}});
      });
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
      claims(ClaimIo(*this), daemon.platform.log_appends_per_second) {
  PublishOwner(*this);
  homes.RegisterPeerHandlers(peers_in);
  claims.RegisterPeerHandlers(peers_in);
  ServeSnapshots(*this);
  homes.OnList([this](const upstream_config& engine,
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
    config_in_force.Set(in_force);
    membership.SetConfigOffset(in_force->applied_offset);
  });
  health_timer = RunEvery(kHealthInterval, [this] {
    ejected.Set(
        std::make_shared<const name_set>(Ejected(health, MonotonicNow())));
  });
}

std::string HomeAddress(const control_state& state,
                        absl::string_view resource) {
  const absl::string_view home = HomeOf(resource, state.live_names);
  if (home.empty() || home == state.membership.Self().daemon) return "";
  const auto it = state.peer_addresses.find(home);
  return it == state.peer_addresses.end() ? "" : it->second;
}

void UpdateMembers(control_state& state) {
  state.live_names.clear();
  state.peer_addresses.clear();
  for (const member& daemon : state.membership.Live()) {
    state.live_names.push_back(daemon.id.daemon);
    state.peer_addresses[daemon.id.daemon] = daemon.peer_address;
  }
  state.config.PeersChanged();
  state.claims.OnMembersChanged();
}

void SweepOrphans(control_state& state, const upstream_config& engine,
                  absl::Span<const engine_request> listed) {
  const std::vector<engine_request> orphans = FindOrphans(
      state.orphans[engine.name], listed,
      [&state](const owner_id& owner) {
        return state.membership.IsOwnerLive(owner);
      },
      {}, MonotonicNow());
  for (const engine_request& orphan : orphans) {
    LogEvent(log_level::warn, "orphan_cancelled",
             {{"request_id", QString::fromStdString(orphan.request_id)},
              {"owner", QString::fromStdString(orphan.owner)},
              {"upstream", QString::fromStdString(engine.name)}});
    state.cancels.Cancel(
        {orphan.request_id, orphan.owner, engine.name, engine.address});
  }
}

void ReportUpstream(control_state& state, absl::string_view upstream, bool ok) {
  ReportCall(state.health, upstream, ok, MonotonicNow());
}

}  // namespace anvilridge
